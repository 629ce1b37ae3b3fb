#include "admission/stop_schedule.hpp"

#include <algorithm>

namespace zinniaferry::admission
{

namespace
{

/// Time for the platform's balancer to notice that readiness is off: it probes readiness once a
/// second and stops sending to the daemon after two failures.
constexpr core::duration readiness_propagation = std::chrono::milliseconds(2600);
/// The process exits this long before the end of the grace period, or the fraction of the period
/// below if that is less: requests in progress get nearly all of a short period, too.
constexpr core::duration max_exit_margin = std::chrono::milliseconds(500);
constexpr int exit_margin_divisor = 12;
/// Time for writing a response to its caller.
constexpr core::duration response_write_time = std::chrono::milliseconds(200);

} // namespace

stop_schedule plan_stop(core::time_point requested_at, core::duration grace)
{
    const core::duration exit_margin = std::min(max_exit_margin, grace / exit_margin_divisor);
    return {.announced_until = requested_at + std::min(readiness_propagation, grace / 2),
            .exit_at = requested_at + grace - exit_margin};
}

core::time_point last_send_time(const stop_schedule& schedule, core::time_point deadline,
                                bool may_have_run)
{
    const core::time_point last_response_at = schedule.exit_at - response_write_time;
    if (deadline <= last_response_at)
    {
        return deadline;
    }
    return may_have_run ? last_response_at : schedule.announced_until;
}

} // namespace zinniaferry::admission
