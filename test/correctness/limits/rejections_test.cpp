#include "limits/rejections.hpp"
#include "limits/retry_budget.hpp"

#include "core/random.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace zinniaferry::limits
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

rejections observed(int arrivals, int every)
{
    rejections service;
    for (int i = 0; i < arrivals; ++i)
    {
        record_arrival(service, i % every == 0, start + i * 10ms);
    }
    return service;
}

// Guards against a service that counts as rejecting after one unlucky request, and against a state
// that outlasts its cause.
TEST(rejections, the_share_needs_arrivals_and_decays_without_them)
{
    EXPECT_EQ(rejected_share(observed(2, 1), start + 20ms), 0.0);
    const rejections fifth = observed(200, 5);
    EXPECT_NEAR(rejected_share(fifth, start + 2s), 0.2, 0.05);
    EXPECT_EQ(rejected_share(fifth, start + 10s), 0.0);
}

// Guards against hedges that use up the retries of requests that no server has, and against a
// change for services that reject next to nothing.
TEST(rejections, a_rejecting_service_gets_no_hedges)
{
    EXPECT_EQ(required_retries(0.01, 0.1, retry_use::hedge), 1.0);
    EXPECT_TRUE(std::isinf(required_retries(0.2, 0.1, retry_use::hedge)));
    EXPECT_EQ(required_retries(0.08, 0.1, retry_use::first_visit), 1.0);
}

// Guards against holding a request that would be served sooner by its caller's return.
TEST(rejections, only_callers_who_were_refused_before_wait_for_the_budget)
{
    EXPECT_EQ(retry_wait_end(0.2, retry_use::first_visit, start, start + 400ms), start);
    EXPECT_EQ(retry_wait_end(0.2, retry_use::further_visit, start, start + 400ms), start + 100ms);
    EXPECT_EQ(retry_wait_end(0.0, retry_use::further_visit, start, start + 400ms), start);
}

// Guards against a Retry-After that grows without bound when a service rejects everything.
TEST(rejections, retry_after_grows_with_the_share_up_to_a_bound)
{
    EXPECT_EQ(retry_after_rejection(0.0), 20ms);
    EXPECT_EQ(retry_after_rejection(0.5), 40ms);
    EXPECT_EQ(retry_after_rejection(1.0), 200ms);
}

// Replays the load pattern: a fifth of all arrivals is rejected, twice the budget's ratio. Guards
// against refusing callers a second time while the budget goes to those who can come back, and
// against exceeding the budget.
TEST(rejections, retries_go_first_to_callers_who_were_refused_before)
{
    constexpr int request_count = 5000;
    constexpr double rejecting = 0.2;
    retry_budget budget{.options = {.ratio = 0.1, .slack = 172.0}, .members = 106};
    rejections service;
    core::random_generator random{11};
    int refused_first = 0;
    int refused_again = 0;
    int further_visits = 0;
    int retries = 0;
    for (int i = 0; i < request_count; ++i)
    {
        const core::time_point now = start + i * 5ms;
        const bool came_back = core::uniform(random) < 0.1;
        const retry_use use = came_back ? retry_use::further_visit : retry_use::first_visit;
        further_visits += came_back ? 1 : 0;
        on_first_attempt(budget, "orders");
        bool rejected = core::uniform(random) < rejecting;
        record_arrival(service, rejected, now);
        const double required = required_retries(rejected_share(service, now), 0.1, use);
        if (rejected && take_retry(budget, "orders", required))
        {
            ++retries;
            rejected = core::uniform(random) < rejecting;
            record_arrival(service, rejected, now);
        }
        refused_first += rejected && !came_back ? 1 : 0;
        refused_again += rejected && came_back ? 1 : 0;
    }
    const double share_first =
        static_cast<double>(refused_first) / (request_count - further_visits);
    const double share_again = static_cast<double>(refused_again) / further_visits;
    EXPECT_LT(share_again, share_first);
    EXPECT_LE(retries, request_count / 10 + 2);
}

} // namespace
} // namespace zinniaferry::limits
