/// Time points of the decision logic: a clock that only moves when its driver says so.
#pragma once

#include <chrono>
#include <cstdint>

#include <ctime>

namespace zinniaferry::core
{

using namespace std::chrono_literals;

/// Clock of the decision logic. It has no now(): the daemon fills time points from the time since
/// boot, checks fill them from virtual time, so that every run repeats from its seed.
struct logical_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<logical_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = logical_clock::duration;
using time_point = logical_clock::time_point;

/// Wall-clock milliseconds since the Unix epoch, used only for labels that cross machines.
using unix_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Returns a duration in seconds as a floating-point number. Thread safe.
constexpr double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Returns a duration in milliseconds as a floating-point number. Thread safe.
constexpr double to_milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// Returns the duration nearest to `seconds`. Precondition: |seconds| < 9e9. Thread safe.
constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Returns the time since boot, which also counts while the VM is suspended; the steady clock stops
/// then. The daemon fills the time points of deadlines and of the age of beliefs from it. Thread
/// safe.
inline time_point boot_clock_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace zinniaferry::core
