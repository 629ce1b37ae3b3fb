/// Decides which servers a request may be sent to while its service is busy, and whether it waits
/// for one. Requests that can still be in time come first: a response that is late in any case is
/// worth less, and the work for it makes others late. A request that may run only once goes to no
/// server at which it would outlive its time limit: it could not be sent again.
///
/// Load pattern: a burst above the service's capacity. If every request takes a place in a queue,
/// each waits for the work of those before it, and all responses are late.
#pragma once

#include "core/time.hpp"
#include "routing/candidates.hpp"

#include <optional>

namespace zinniaferry::admission
{

/// What is known of a request that needs a server.
struct waiting_request
{
    core::duration since_arrival{};       ///< At this daemon.
    core::duration since_first_attempt{}; ///< Of its caller; at least `since_arrival`.
    core::duration objective{};           ///< Latency that the caller expects.
    core::duration usual_latency{};       ///< From sending to the response; zero if not known.
    core::duration response_transit{};    ///< From the daemon to the caller.
    /// Of a request that may run only once.
    std::optional<routing::run_limit> limit;
    bool may_fit = true; ///< A server of usual speed would end it within `limit`.
};

/// Which servers a request may be sent to now.
struct placement
{
    routing::queueing accepted = routing::queueing::in_time;
    core::duration max_delay = core::duration::max(); ///< Beyond the usual latency.
    bool waits = false; ///< If no server is acceptable now, another selection may find one.
    /// Servers at which the request would outlive this limit are not acceptable.
    std::optional<routing::run_limit> limit;
};

/// Returns the placement of a request that is not at a server. Thread safe.
placement place(const waiting_request& request);

/// Returns the placement of a hedge, for which no response is lost if no server is found: it must
/// not take a place that another request needs, and it is of use at a fast server only. Thread
/// safe.
placement place_hedge(core::duration usual_latency);

} // namespace zinniaferry::admission
