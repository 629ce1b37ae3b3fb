/// Subsets of the backend servers: where many daemons share many servers, each daemon sends to a
/// part of them first, so that its connections stay in use between two requests.
#pragma once

#include "routing/backends.hpp"

#include <cstddef>
#include <span>
#include <string>

namespace zinniaferry::routing
{

/// What the size of a daemon's subset depends on.
struct subset_demand
{
    std::size_t members = 1; ///< Daemons of the fleet, this one included.
    double own_rate = 0.0;   ///< Selections/s of this daemon.
    std::size_t servers = 0; ///< Backend servers of all services.
};

/// Returns the fraction of the servers, in (0, 1], that a daemon sends to first: small where the
/// fleet is large and the daemon's requests are few, 1 in a small fleet. Thread safe.
double subset_fraction(const subset_demand& demand);

/// Returns the position of `own_name` among the members in [0, 1). The positions of all members
/// are evenly spaced. A member that is missing in `members` is counted in. Thread safe.
double subset_position(std::span<const std::string> members, const std::string& own_name);

/// Sets `backend::in_subset` of all listed servers from the known members: in each service and data
/// centre, the arc of `fraction` of the slots that begins at this daemon's position. A data centre
/// thus has the share of the subset that it has of the service's slots. Not thread safe: calls on
/// one backend_set must not run concurrently.
void update_subset(backend_set& set, double fraction);

/// Returns the number of servers in the subset. Not thread safe.
std::size_t subset_size(const backend_set& set);

} // namespace zinniaferry::routing
