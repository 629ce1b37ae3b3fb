/// The frame of an update with changes that a hub sends to several subscribers. It is encoded and
/// compressed once for all that lack the same changes.
#pragma once

#include "fleet/replica_updates.hpp"
#include "net/peer_link.hpp"

namespace zinniaferry::net
{

using fleet::subscriber_position;

/// An encoded update.
struct encoded_update
{
    frame_pointer frame;
    std::size_t entries = 0;
    bool is_snapshot = false;
};

/// The update that was encoded last. Not thread safe.
struct shared_update
{
    subscriber_position position;
    std::uint64_t sequence = 0; ///< replica::sequence that it leads to.
    core::time_point encoded_at;
    encoded_update update;
};

/// Returns the update that brings a subscriber from its position to the replica's state: the shared
/// one if it does, else a new one, which is shared from then on. It repeats no report.
/// Precondition: the replica is complete. Not thread safe.
encoded_update update_for(shared_update& shared, const fleet::replica& replica,
                          const subscriber_position& position, core::time_point now);

} // namespace zinniaferry::net
