#include "request/hedging.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::request
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{100s};

core::duration hedge_delay(core::duration objective, core::duration usual_latency)
{
    return hedge_time({.arrived_at = start,
                       .sent_at = start + 2ms,
                       .objective = objective,
                       .one_way_delay = 8ms,
                       .usual_latency = usual_latency}) -
           (start + 2ms);
}

// Guards against hedged requests that are too late to help, as they were when the usual latency was
// the mean of the service, which slower routes share.
TEST(hedging, comes_early_enough_for_the_second_server_to_be_in_time)
{
    for (const auto& [objective, usual_latency] :
         {std::pair(100ms, 30ms), std::pair(200ms, 75ms), std::pair(600ms, 240ms),
          std::pair(1500ms, 600ms)})
    {
        EXPECT_LE(hedge_delay(objective, usual_latency) + usual_latency, objective - 16ms)
            << objective.count();
        EXPECT_GE(hedge_delay(objective, usual_latency), usual_latency) << objective.count();
    }
}

// Guards against spending the retry budget on requests that take no longer than usual.
TEST(hedging, waits_for_at_least_the_usual_latency)
{
    EXPECT_GE(hedge_delay(100ms, 95ms), 95ms);
    EXPECT_GE(hedge_delay(50ms, 200ms), 200ms);
    EXPECT_EQ(hedge_delay(1000ms, 50ms), 400ms) << "not late before 40 % of the objective";
}

// Guards against hedging at once while the usual latency of the route is not known yet.
TEST(hedging, an_unknown_usual_latency_counts_as_zero)
{
    EXPECT_EQ(hedge_delay(1000ms, 0ms), 400ms);
}

} // namespace
} // namespace zinniaferry::request
