#include "request/second_send.hpp"

#include <algorithm>

namespace zinniaferry::request
{

namespace
{

/// A request that takes this much longer than usual is clearly late.
constexpr double late_factor = 1.3;
/// Before this part of the objective there is no hurry.
constexpr double patient_part = 0.4;
/// The second server needs about this much of the usual latency.
constexpr double room_factor = 1.15;

core::duration times(core::duration time, double factor)
{
    return core::from_seconds(core::to_seconds(time) * factor);
}

} // namespace

core::time_point second_send_time(const second_send_input& input)
{
    const core::time_point clearly_late =
        input.sent +
        std::max(times(input.objective, patient_part), times(input.usual, late_factor));
    const core::time_point last_useful =
        input.arrived + input.objective - 2 * input.way - times(input.usual, room_factor);
    return std::max(input.sent + input.usual, std::min(clearly_late, last_useful));
}

} // namespace zinniaferry::request
