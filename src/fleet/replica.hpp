/// A daemon's copy of the entries that the platform publishes, with their revisions. Changes come
/// from the platform itself or from a peer, in any order; an entry never goes back to an older
/// revision.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::fleet
{

/// One change of an entry.
struct entry_change
{
    std::string key;
    std::optional<std::string> value; ///< Nothing when the entry was removed.
    std::uint64_t revision = 0;

    bool operator==(const entry_change&) const = default;
};

struct replica_entry
{
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t sequence = 0; ///< Of the change in this replica.
};

struct replica_tombstone
{
    std::uint64_t revision = 0;
    std::uint64_t sequence = 0;
};

struct replica
{
    bool complete = false;      ///< It held all entries as of some revision.
    std::uint64_t revision = 0; ///< All changes up to here are known.
    /// All changes that were made before this time are known.
    core::time_point current_as_of;
    std::map<std::string, replica_entry> entries;
    std::map<std::string, replica_tombstone> tombstones; ///< The latest removals.
    std::uint64_t sequence =
        0; ///< Counts the changes of this replica, in the order of their arrival.
    /// Entries that are missing from a copy read after an outage, and when they count as gone.
    std::map<std::string, core::time_point> missing;
};

/// All functions: not thread safe for one replica.

/// Applies changes that bring the replica to `revision`. Returns those that were news.
std::vector<entry_change> apply_changes(replica& replica, std::vector<entry_change> changes,
                                        std::uint64_t revision);

/// Applies a complete copy of the entries as of `revision` or later. What is missing from it is
/// removed: at once, or after `grace` when the platform could not be reached before, as entries of
/// servers that live are back by then. Returns the changes.
std::vector<entry_change> apply_snapshot(replica& replica, std::vector<entry_change> snapshot,
                                     std::uint64_t revision, core::duration grace,
                                     core::time_point now);

/// Removes the missing entries whose grace is over. Returns the changes.
std::vector<entry_change> expire_missing(replica& replica, core::time_point now);

/// Returns all entries as changes.
std::vector<entry_change> make_snapshot(const replica& replica);

/// Returns the changes that came after the replica's sequence was `sequence`, or nothing when
/// removals since then may have been forgotten.
std::optional<std::vector<entry_change>> changes_after(const replica& replica,
                                                       std::uint64_t sequence);

} // namespace zinniaferry::fleet
