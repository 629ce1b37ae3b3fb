/// Updates by which a hub keeps the replicas of its subscribers up to date.
#pragma once

#include "fleet/hub_messages.hpp"
#include "fleet/replica.hpp"

namespace zinniaferry::fleet
{

/// What a subscriber knows, which determines the changes that it lacks.
struct subscriber_position
{
    /// replica::sequence of the changes sent to it; 0 before its snapshot.
    std::uint64_t sent_sequence = 0;
    store_era era;                    ///< Of `known_revision`.
    std::uint64_t known_revision = 0; ///< Revision that it has been brought to; 0 for none.
    fleet::compression compression = fleet::compression::off;

    bool operator==(const subscriber_position&) const = default;
};

/// Returns what a subscriber knows that begins with this message. It lacks nothing if it knows the
/// hub's revision; otherwise it gets a snapshot, with the values of the entries that it lacks.
/// Thread safe.
subscriber_position position_from(const hello_message& hello, const replica& hub);

/// Returns whether the subscriber lacks changes that the hub has. Thread safe.
bool is_behind(const subscriber_position& position, const replica& hub);

/// Returns the update that brings a subscriber from its position to the hub's state: the changes
/// since, or a snapshot. Precondition: the replica is complete. Thread safe.
update_message make_update(const replica& hub, const subscriber_position& position,
                           core::time_point now);

/// Records that such an update was sent. Not thread safe for the same position.
void on_update_sent(subscriber_position& position, const replica& hub);

/// Applies a hub's update, which holds all changes made before `current_as_of`. One from an earlier
/// era of the store than the replica's has no effect. Returns the changes that took effect. Not
/// thread safe for the same replica.
std::vector<entry_change> apply_update(replica& replica, const update_message& update,
                                       core::time_point current_as_of, core::time_point now);

} // namespace zinniaferry::fleet
