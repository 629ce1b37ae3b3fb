/// Loads of services across the fleet: which of its loads a daemon states to its hubs, the sums
/// that a hub forms of them, and which sums it sends to a subscriber.
///
/// Load pattern: a burst on a service whose requests arrive at many daemons, so that each sees too
/// few of them to tell what the service can take.
#pragma once

#include "admission/service_load.hpp"
#include "fleet/registry.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::fleet
{

/// A message has the loads of at most so many services, so that its size does not grow with the
/// number of services.
inline constexpr std::size_t max_stated_loads = 16;

/// Returns the loads of the services that a daemon used in the last seconds, the busiest first, at
/// most `max_stated_loads`. Thread safe while the meters are not modified.
std::vector<stated_load>
loads_to_state(const std::unordered_map<std::string, admission::load_meter>& meters,
               core::time_point now);

/// The sums of a hub.
struct load_sums
{
    admission::fleet_load sums;       ///< `as_of` is the time of the last update_sums.
    std::vector<std::string> busiest; ///< Services, the busiest first, at most max_stated_loads.
};

/// Adds up the registry's own loads and those of its subscribed members, unless that was done a
/// moment ago. The load of a member that has been silent for hub_silence_timeout does not count, as
/// it may be running no more. Not thread safe for the same `sums`.
void update_sums(load_sums& sums, const registry& registry, core::time_point now);

/// Returns the sums for a subscriber that stated the loads `stated`: those of the same services,
/// and of the busiest others, at most `max_stated_loads` together. Thread safe while `sums` is not
/// modified.
std::vector<stated_load> sums_for(const load_sums& sums, const std::vector<stated_load>& stated);

/// Returns the sums that a hub sent. `as_of` is a time after which it sent them. Thread safe.
admission::fleet_load make_fleet_load(const std::vector<stated_load>& sums, core::time_point as_of);

} // namespace zinniaferry::fleet
