#include "admission/startup_wait.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point started{1000s};

// Guards against refusing the callers that are back in the moment at which the daemons are.
TEST(startup_wait, a_request_waits_for_the_configuration_of_a_daemon_that_has_just_started)
{
    const core::time_point arrived = started + 10ms;
    EXPECT_EQ(configuration_wait_end(
                  {.daemon_started_at = started, .arrived_at = arrived, .time_left = 900ms}),
              arrived + 300ms);
    EXPECT_GT(configuration_wait_end({.daemon_started_at = started, .arrived_at = arrived}),
              arrived);
}

// Guards against holding requests while the platform is down: their callers are told at once.
TEST(startup_wait, no_request_waits_at_a_daemon_that_started_long_ago)
{
    const core::time_point arrived = started + 5s;
    EXPECT_LE(configuration_wait_end(
                  {.daemon_started_at = started, .arrived_at = arrived, .time_left = 10s}),
              arrived);
}

} // namespace
} // namespace zinniaferry::admission
