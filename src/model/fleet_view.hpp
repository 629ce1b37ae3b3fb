/// What a daemon knows of the size and the members of the fleet, as net::hub_links computes it.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Combines the reports of the hubs with the daemon's own registry, and applies the result to the
/// daemon's limits and to its choice of senders to cold servers.
void apply_fleet_view(world& world, std::size_t daemon);

} // namespace zinniaferry::model
