#include "admission/startup_wait.hpp"

#include <algorithm>

namespace zinniaferry::admission
{

namespace
{

/// A daemon reads the platform's entries within this time of its start, also on a slow VM, if the
/// platform responds.
constexpr core::duration max_startup_time = std::chrono::milliseconds(800);
/// The caller must have time left for the request itself, and for another attempt.
constexpr int wait_divisor = 3;
/// Used when the caller states no deadline.
constexpr core::duration default_time_left = std::chrono::seconds(1);

} // namespace

core::time_point configuration_wait_end(const early_request& request)
{
    const core::duration time_left = request.time_left.value_or(default_time_left);
    return std::min(request.daemon_started_at + max_startup_time,
                    request.arrived_at + time_left / wait_divisor);
}

} // namespace zinniaferry::admission
