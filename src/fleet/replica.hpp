/// A daemon's replica of the key-value entries that the platform publishes, with their revisions.
/// Changes arrive from the platform or from hubs, in any order; an entry never returns to an older
/// revision.
///
/// A platform that restores its store from a backup numbers the restored store as a new era, in
/// which it assigns the revisions since the backup again. Revisions are compared within an era
/// only.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::fleet
{

/// A new value of an entry, or its removal.
struct entry_change
{
    std::string key;
    std::optional<std::string> value; ///< Nullopt for a removal.
    std::uint64_t revision = 0;       ///< Store revision of the change.
    /// In a snapshot only: the receiver knows the entry, so its value is left out.
    bool unchanged = false;

    bool operator==(const entry_change&) const = default;
};

/// An entry as this replica holds it.
struct replica_entry
{
    std::string value;
    std::uint64_t revision = 0; ///< Store revision of the value.
    std::uint64_t sequence = 0; ///< Of its last change in this replica, see replica::sequence.
};

/// Records a removal, so that an older value that arrives later is ignored.
struct replica_tombstone
{
    std::uint64_t revision = 0; ///< Store revision of the removal.
    std::uint64_t sequence = 0; ///< Of the removal in this replica, see replica::sequence.
};

/// A value that an entry had before.
struct superseded_value
{
    std::string key;
    std::uint64_t revision = 0; ///< Store revision of the value.
    std::uint64_t value_hash = 0;
};

/// A change that takes effect later, unless a newer one of the same entry arrives before.
struct held_change
{
    entry_change change;
    core::time_point until;
};

/// Number of the store's restorations; nullopt where the platform states none.
using store_era = std::optional<std::uint64_t>;

/// The entries, and what is needed to merge and forward changes.
struct replica
{
    bool complete = false;          ///< It has held all entries as of some revision.
    store_era era;                  ///< Of all revisions here.
    std::uint64_t revision = 0;     ///< All changes up to this store revision are known.
    core::time_point current_as_of; ///< All changes made before this time are known.
    std::map<std::string, replica_entry> entries;        ///< By key.
    std::map<std::string, replica_tombstone> tombstones; ///< By key; the most recent 512.
    /// Local change counter. It orders changes by arrival, which may differ from revision order.
    std::uint64_t sequence = 0;
    /// By key, changes that are held back: removals of entries that an outage may have expired, and
    /// what a restored store holds in place of newer state that is known here.
    std::map<std::string, held_change> held;
    std::deque<superseded_value> superseded; ///< The most recent 1,024, of all eras.
    /// Values that are known to be superseded are held back until then; nullopt when the store was
    /// not restored lately.
    std::optional<core::time_point> restoration_settles_at;
    /// The platform removes the entry of a server that has been silent for so long.
    core::duration entry_lifetime = std::chrono::milliseconds(4500);
};

/// Time in which live servers write their entries again after an outage of the platform, and after
/// its store was restored.
inline constexpr core::duration rewrite_time = std::chrono::milliseconds(2300);

/// All functions: not thread safe for the same replica.

/// Returns whether both eras may be the same: they are equal, or one is not stated. Thread safe.
bool is_same_era(store_era a, store_era b);

/// A request that the platform answers at once if there are changes, and otherwise after a wait.
struct long_poll
{
    core::time_point requested_at;
    core::duration max_wait{};
};

/// Returns the time as of which the response to a long poll is known to be current. One without
/// changes was sent at the end of the wait. One with changes that came after that time was delayed
/// on its way or while this VM was suspended, and may have been sent at any time since the request.
/// Thread safe.
core::time_point long_poll_current_as_of(const long_poll& poll, core::time_point received_at,
                                         bool has_changes);

/// Applies changes that bring the replica to `revision`. Returns those that took effect. Changes of
/// another era than the replica's have no effect: only a snapshot leads to a new era.
std::vector<entry_change> apply_changes(replica& replica, std::vector<entry_change> changes,
                                        std::uint64_t revision, store_era era = std::nullopt);

/// Applies a snapshot of all entries as of `revision` or later. Entries missing from it are
/// removed, at once if `grace` is zero and otherwise after `grace`. A grace period is used after an
/// outage of the platform, in which entries may expire; live servers write theirs again within
/// it. Returns the changes that took effect.
///
/// A snapshot of an earlier era than the replica's has no effect. In one of a later era, revisions
/// count from the backup that the store was restored from. Values that the replica knows to be
/// superseded are held back: the writers write the lost ones again within `rewrite_time`, and the
/// entry of a server that has left expires. An entry that is still as in the backup then is
/// applied. Entries that the backup lacks are kept for `rewrite_time`.
std::vector<entry_change> apply_snapshot(replica& replica, std::vector<entry_change> snapshot,
                                         std::uint64_t revision, core::duration grace,
                                         core::time_point now, store_era era = std::nullopt);

/// Applies the held changes that are due. Returns those that took effect.
std::vector<entry_change> apply_held_changes(replica& replica, core::time_point now);

/// Returns a snapshot for a replica that knows all changes up to `known_revision`, 0 for none: all
/// entries as changes, those up to that revision marked as unchanged and without a value.
std::vector<entry_change> make_snapshot(const replica& replica, std::uint64_t known_revision);

/// Returns the changes that arrived since replica::sequence was `sequence`, or nullopt when
/// tombstones since then may have been discarded, so that a snapshot is required.
std::optional<std::vector<entry_change>> changes_after(const replica& replica,
                                                       std::uint64_t sequence);

} // namespace zinniaferry::fleet
