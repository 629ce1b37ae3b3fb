#include "admission/placement.hpp"

namespace zinniaferry::admission
{

namespace
{

/// Factor on the usual latency, which is a median: a request that has no more time than that is
/// late half of the time.
constexpr double latency_margin = 1.2;
/// Fraction of the objective during which a request of a route whose responses are all late waits
/// for a server.
constexpr double late_wait_fraction = 0.3;

bool may_wait_late(const waiting_request& request)
{
    return core::to_seconds(request.since_arrival) <
           core::to_seconds(request.objective) * late_wait_fraction;
}

// The placement by the objective alone.
placement place_by_objective(const waiting_request& request)
{
    const core::duration likely_latency =
        core::from_seconds(core::to_seconds(request.usual_latency) * latency_margin);
    const core::duration spare_time = request.objective - request.response_transit - likely_latency;
    if (spare_time < core::duration::zero())
    {
        // No request of the route is in time, so there is none to reserve a slot for.
        return {.accepted = routing::queueing::none, .waits = may_wait_late(request)};
    }
    const core::duration max_delay = spare_time - request.since_first_attempt;
    if (max_delay < core::duration::zero())
    {
        return {.accepted = routing::queueing::spare};
    }
    return {.accepted = routing::queueing::in_time, .max_delay = max_delay, .waits = true};
}

} // namespace

placement place(const waiting_request& request)
{
    placement out = place_by_objective(request);
    out.limit = request.limit;
    out.waits = out.waits && request.may_fit;
    return out;
}

placement place_hedge(core::duration usual_latency)
{
    return {.accepted = routing::queueing::spare, .max_delay = usual_latency / 2};
}

} // namespace zinniaferry::admission
