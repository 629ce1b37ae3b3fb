/// Hedged requests: when an idempotent request without a response is sent to a second backend
/// server as well.
#pragma once

#include "core/time.hpp"

namespace zinniaferry::request
{

/// What hedge_time depends on.
struct hedge_input
{
    core::time_point arrived_at;    ///< When the request reached this daemon.
    core::time_point sent_at;       ///< When it was sent to the first server.
    core::duration objective{};     ///< Latency that the caller expects, as it measures it.
    core::duration one_way_delay{}; ///< Network delay between the caller and this daemon.
    core::duration usual_latency{}; ///< Median of the route; zero if not known.
};

/// Returns when to send the request to a second server. A hedged request spends the retry budget
/// and a server's time, so it waits until the first response is clearly late, unless a response
/// from the second server would then miss the objective. It is never sent before the usual latency
/// has passed. Thread safe.
core::time_point hedge_time(const hedge_input& input);

} // namespace zinniaferry::request
