/// Learns how long requests take at a server: the usual time of a route, its spread, and how much a
/// service's servers slow down when they are nearly full.
#pragma once

#include "core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace zinniaferry::routing
{

/// A server that reports a higher factor is taken at this one, so that a wrong report cannot make
/// an estimate useless.
inline constexpr double max_believed_slowdown = 10.0;

/// Factor on the expected time in a server's queue: the work ahead of a request takes longer as
/// often as shorter, and a queue must not make the response late.
inline constexpr double queue_time_margin = 1.5;

/// Occupancies above the lowest one are learned in this number of bands.
inline constexpr std::size_t occupancy_bands = 3;

/// Factors on the latency of a service by the occupancy of its server. Below the first band, the
/// factor is 1 by definition.
struct occupancy_effect
{
    struct band
    {
        double factor = 1.0; ///< At the last update; it decays to 1.
        core::time_point updated_at;
    };

    std::array<band, occupancy_bands> bands;
};

/// Time that requests of a route take at a server of usual speed that is not nearly full.
struct work_time
{
    core::duration usual{}; ///< Median; zero before the first response.
    double margin = 1.5;    ///< Factor within which most requests end.
};

/// Load of a server when a request was sent to it.
struct load_at_send
{
    double occupancy = 0.0; ///< Fraction of its slots that are taken, this request included.
    double slowdown = 1.0;  ///< As reported.
    core::duration queue{}; ///< Expected wait in its queue.
};

/// Not thread safe: calls on one object must not run concurrently.

/// Returns the factor for a server of that occupancy, at least 1 and bounded. Above an occupancy of
/// 1, the request waits first, and then runs at a server that stays full.
double occupancy_factor(const occupancy_effect& effect, double occupancy, core::time_point now);

/// Returns the factor on the usual time for a request that is sent at that load.
double load_factor(const occupancy_effect& effect, const load_at_send& load, core::time_point now);

/// Learns from a response; the expected wait in the queue is not taken for work.
void record_work(work_time& route, occupancy_effect& effect, const load_at_send& load,
                 core::duration latency, core::time_point now);

/// Learns from a request that had no response when it was ended after `at_least`. Without it, only
/// the fast requests of a route with a short timeout would be learned from.
void record_unfinished_work(work_time& route, occupancy_effect& effect, const load_at_send& load,
                            core::duration at_least, core::time_point now);

/// Limit of a request that may run only once. A server that runs it past the limit wastes its work,
/// and nobody may send the request again.
struct run_limit
{
    core::duration left = core::duration::max();  ///< Until the attempt would be ended.
    core::duration whole = core::duration::max(); ///< What callers of the route are given.
    work_time work;                               ///< Of the route.
};

/// Expected time at a server.
struct time_at_server
{
    core::duration queue{}; ///< Until a slot is free.
    core::duration work{};  ///< From then on.
};

/// Returns the time that the request needs at a server, of which most requests need less. For a
/// route that is given hardly more than its usual time, the margin shrinks to what leaves a server
/// of usual speed in reach: `usual_slowdown` is that of the service's servers.
core::duration needed_time(const run_limit& limit, const time_at_server& expected,
                           double usual_slowdown);

/// Returns whether the request would outlive its limit at the server; false before the route's
/// first response.
bool would_outlive(const run_limit& limit, const time_at_server& expected, double usual_slowdown);

} // namespace zinniaferry::routing
