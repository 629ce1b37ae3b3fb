#include "request/hedging.hpp"

#include <algorithm>

namespace zinniaferry::request
{

namespace
{

/// A response that takes longer than this factor times the usual latency is clearly late.
constexpr double late_latency_factor = 1.3;
/// No response is clearly late before this fraction of the objective has passed.
constexpr double min_objective_fraction = 0.4;
/// Time allowed for the response of the second server, as a factor on the usual latency.
constexpr double second_latency_factor = 1.15;

core::duration scaled(core::duration time, double factor)
{
    return core::from_seconds(core::to_seconds(time) * factor);
}

} // namespace

core::time_point hedge_time(const hedge_input& input)
{
    const core::time_point clearly_late =
        input.sent_at + std::max(scaled(input.objective, min_objective_fraction),
                                 scaled(input.usual_latency, late_latency_factor));
    const core::time_point latest_useful = input.arrived_at + input.objective -
                                           2 * input.one_way_delay -
                                           scaled(input.usual_latency, second_latency_factor);
    return std::max(input.sent_at + input.usual_latency, std::min(clearly_late, latest_useful));
}

} // namespace zinniaferry::request
