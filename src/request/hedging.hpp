/// When an idempotent request that has not been answered goes to a second backend server as well.
#pragma once

#include "core/time.hpp"

namespace zinniaferry::request
{

struct hedge_input
{
    core::time_point arrived_at;   ///< The request.
    core::time_point sent_at;      ///< To the first server.
    core::duration objective{}; ///< Latency that the caller expects, from its side.
    core::duration one_way_delay{};       ///< Between the caller and this daemon, one way.
    core::duration usual_latency{};     ///< Latency of half of the route's answers; zero if not known.
};

/// Returns the time of the second send. Each costs the fleet's budget and a server's time, so it
/// waits until the first is clearly late, unless the second could then not be in time. Thread safe.
core::time_point hedge_time(const hedge_input& input);

} // namespace zinniaferry::request
