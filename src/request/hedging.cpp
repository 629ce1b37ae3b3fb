#include "request/hedging.hpp"

#include <algorithm>

namespace zinniaferry::request
{

namespace
{

/// A request that takes this much longer than usual is clearly late.
constexpr double late_latency_factor = 1.3;
/// Before this part of the objective there is no hurry.
constexpr double min_objective_fraction = 0.4;
/// The second server needs about this much of the usual latency.
constexpr double second_latency_factor = 1.15;

core::duration scaled(core::duration time, double factor)
{
    return core::from_seconds(core::to_seconds(time) * factor);
}

} // namespace

core::time_point hedge_time(const hedge_input& input)
{
    const core::time_point clearly_late =
        input.sent_at +
        std::max(scaled(input.objective, min_objective_fraction), scaled(input.usual_latency, late_latency_factor));
    const core::time_point latest_useful =
        input.arrived_at + input.objective - 2 * input.one_way_delay - scaled(input.usual_latency, second_latency_factor);
    return std::max(input.sent_at + input.usual_latency, std::min(clearly_late, latest_useful));
}

} // namespace zinniaferry::request
