#include "admission/stop_schedule.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point signalled{1000s};
/// How long the platform's balancer may send new callers after the stop signal at the most.
constexpr core::duration balancer_delay = 2600ms;

constexpr core::duration grace_periods[] = {0ms, 250ms, 1s, 2s, 3s, 6s, 10s, 30s, 600s};
constexpr core::duration timeouts[] = {10ms, 300ms, 1s, 2500ms, 5s, 30s};

// Guards against requests that a stopping daemon takes although its exit will cut them: with a
// grace period of 6 s it took them until 4 s after the signal and exited at 5.5 s, whatever their
// timeout.
TEST(stop_schedule, a_request_that_is_sent_after_the_announcement_ends_before_the_exit)
{
    for (const core::duration grace : grace_periods)
    {
        const stop_schedule schedule = plan_stop(signalled, grace);
        for (const core::duration timeout : timeouts)
        {
            for (core::time_point arrival = signalled; arrival < schedule.exit_at; arrival += 10ms)
            {
                const core::time_point deadline = arrival + timeout;
                const bool is_sent = arrival <= last_send_time(schedule, deadline, false);
                if (arrival > schedule.announced_until)
                {
                    EXPECT_TRUE(!is_sent || deadline < schedule.exit_at)
                        << core::to_seconds(grace) << " s grace, arrival after "
                        << core::to_seconds(arrival - signalled) << " s, timeout "
                        << core::to_seconds(timeout) << " s";
                }
            }
        }
    }
}

// Guards against refusals of requests that have time to end, or whose callers could not know of the
// stop.
TEST(stop_schedule, requests_that_have_time_are_sent)
{
    const stop_schedule schedule = plan_stop(signalled, 6s);
    EXPECT_EQ(schedule.announced_until, signalled + balancer_delay);
    for (const core::duration timeout : timeouts)
    {
        EXPECT_GE(last_send_time(schedule, signalled + timeout, false),
                  std::min(signalled + timeout, schedule.announced_until));
    }
    const core::time_point arrival = signalled + 4500ms;
    EXPECT_EQ(last_send_time(schedule, arrival + 300ms, false), arrival + 300ms);
}

// Guards against a request that waits for a server until the exit and gets no response, and against
// a retry or hedge that is cut by it.
TEST(stop_schedule, a_waiting_request_is_given_up_before_the_exit)
{
    for (const core::duration grace : {1s, 3s, 6s, 30s})
    {
        const stop_schedule schedule = plan_stop(signalled, grace);
        const core::time_point late = signalled + grace + 1s;
        EXPECT_EQ(last_send_time(schedule, late, false), schedule.announced_until);
        EXPECT_LT(last_send_time(schedule, late, true), schedule.exit_at);
        EXPECT_GE(last_send_time(schedule, late, true), schedule.announced_until);
    }
}

// Guards against an exit that cuts requests in progress long before the platform kills the process:
// a margin of 0.5 s is a quarter of a grace period of 2 s.
TEST(stop_schedule, the_exit_is_in_the_last_tenth_of_the_grace_period)
{
    for (const core::duration grace : grace_periods)
    {
        const stop_schedule schedule = plan_stop(signalled, grace);
        EXPECT_LE(schedule.exit_at, signalled + grace);
        EXPECT_GE(schedule.exit_at, signalled + grace * 9 / 10);
        EXPECT_LE(schedule.announced_until, schedule.exit_at);
    }
}

} // namespace
} // namespace zinniaferry::admission
