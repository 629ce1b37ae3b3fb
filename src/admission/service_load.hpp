/// Load of a service as one daemon measures it and as the whole fleet sees it: what runs at its
/// servers, what waits for one, and what arrives and is rejected by priority.
///
/// Load pattern: a burst on a fleet of many daemons, each of which sees a few requests a second and
/// cannot tell from these alone whether the service is full.
#pragma once

#include "core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace zinniaferry::admission
{

/// Priorities from the last level on are counted together, so that a load has a bounded size.
inline constexpr std::size_t priority_levels = 8;

/// Requests of one priority, as averages over the last second or so.
struct priority_load
{
    double arrivals = 0.0;   ///< Requests/s for the service, whatever became of them.
    double rejections = 0.0; ///< Requests/s refused for lack of capacity.

    bool operator==(const priority_load&) const = default;
};

struct service_load
{
    double running = 0.0;     ///< Requests that are at a server now.
    double waiting = 0.0;     ///< Requests that wait for a server now.
    double completions = 0.0; ///< Responses/s of servers, averaged as in priority_load.
    std::array<priority_load, priority_levels> by_priority{}; ///< 0 is the most urgent.

    bool operator==(const service_load&) const = default;
};

/// Returns the level at which requests of a priority are counted. Thread safe.
std::size_t priority_level(std::uint32_t priority);

/// Return the requests/s of all priorities that arrive and that are rejected. Thread safe.
double total_arrivals(const service_load& load);
double total_rejections(const service_load& load);

/// Adds the load that another daemon measured. Not thread safe for the same `sum`.
void add(service_load& sum, const service_load& part);

/// The load of all services that the fleet has seen, added up by a hub.
struct fleet_load
{
    std::unordered_map<std::string, service_load> by_service;
    core::time_point as_of; ///< The hub sent it after this time; the epoch before the first.
};

/// Returns the fleet's load of a service. Returns null if nothing is known of it, or if it is too
/// old to decide anything: the caller then falls back to what its daemon knows by itself. Thread
/// safe while the load is not modified.
const service_load* find_recent(const fleet_load& load, const std::string& service,
                                core::time_point now);

/// Measures the load of one service at one daemon.
struct load_meter
{
    service_load averages;       ///< At `updated_at`; `running` and `waiting` are exact.
    core::time_point updated_at; ///< The epoch before the first event.
};

/// Not thread safe: calls on one load_meter must not run concurrently.

void on_arrival(load_meter& meter, std::uint32_t priority, core::time_point now);
/// Records that a request was refused because no server has capacity for it.
void on_rejected(load_meter& meter, std::uint32_t priority, core::time_point now);
/// Records that a request begins and ends to wait for a server. Each begin has one end. An end
/// whose begin another meter counted has no effect on a count of 0.
void on_wait_began(load_meter& meter);
void on_wait_ended(load_meter& meter);
/// Records that a request was sent to a server, and that the attempt ended. `completed` is whether
/// the server responded to it with a response for the caller.
void on_attempt_began(load_meter& meter);
void on_attempt_ended(load_meter& meter, bool completed, core::time_point now);

/// Returns the load as of `now`. Does not modify the meter.
service_load read(const load_meter& meter, core::time_point now);

} // namespace zinniaferry::admission
