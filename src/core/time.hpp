/// Time types of the decision logic, whose functions take the current time as a parameter.
#pragma once

#include <chrono>
#include <cstdint>

#include <ctime>

namespace zinniaferry::core
{

using namespace std::chrono_literals;

/// Clock of the decision logic. It has no now(): the daemon supplies the time since boot, and tests
/// supply virtual time, so that every run can be repeated from its seed.
struct logical_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<logical_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Nanoseconds.
using duration = logical_clock::duration;
/// In the daemon: time since boot.
using time_point = logical_clock::time_point;

/// Wall-clock milliseconds since the Unix epoch, only for timestamps that other machines read.
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

/// Returns `seconds` as a duration, truncated to nanoseconds. Precondition: |seconds| < 9e9. Thread
/// safe.
constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Returns the time since boot. It also advances while the VM is suspended, when the steady clock
/// stops, so that deadlines and the age of information stay correct. Thread safe.
inline time_point boot_clock_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// Returns the wall-clock time since the Unix epoch, only for timestamps that other processes
/// compare with their own. Thread safe.
inline std::chrono::microseconds unix_time_now()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace zinniaferry::core
