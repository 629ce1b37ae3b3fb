#include "load/schedule.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace zinniaferry::load
{
namespace
{

std::vector<arrival> all_arrivals(const traffic_mix& mix, arrival_spacing spacing,
                                  std::uint64_t seed, seconds end)
{
    schedule plan = make_schedule(mix, 0, spacing, seed);
    std::vector<arrival> arrivals;
    while (const auto next = next_arrival(plan, end))
    {
        arrivals.push_back(*next);
    }
    return arrivals;
}

traffic_mix make_mix(double rate)
{
    return {.accounts = {{.name = "a", .rate = rate}},
            .routes = {{.path = "/x", .weight = 3.0}, {.path = "/y", .weight = 1.0}}};
}

// Guards against a schedule that differs between runs with the same seed.
TEST(schedule, repeats_from_its_seed)
{
    const auto a = all_arrivals(make_mix(100.0), arrival_spacing::poisson, 7, seconds(1.0));
    const auto b = all_arrivals(make_mix(100.0), arrival_spacing::poisson, 7, seconds(1.0));
    const auto c = all_arrivals(make_mix(100.0), arrival_spacing::poisson, 8, seconds(1.0));
    ASSERT_EQ(a.size(), b.size());
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        EXPECT_EQ(a[i].send_offset, b[i].send_offset);
        EXPECT_EQ(a[i].route_index, b[i].route_index);
    }
    EXPECT_NE(a.front().send_offset, c.front().send_offset);
}

// Guards against arrivals that do not follow the account's rate or the route weights. The bounds
// are five standard deviations.
TEST(schedule, follows_rate_and_weights)
{
    const auto arrivals =
        all_arrivals(make_mix(1000.0), arrival_spacing::poisson, 1, seconds(10.0));
    EXPECT_NEAR(static_cast<double>(arrivals.size()), 10'000.0, 500.0);
    const auto first = std::count_if(arrivals.begin(), arrivals.end(),
                                     [](const arrival& entry) { return entry.route_index == 0; });
    EXPECT_NEAR(static_cast<double>(first) / static_cast<double>(arrivals.size()), 0.75, 0.022);
    EXPECT_EQ(all_arrivals(make_mix(10.0), arrival_spacing::fixed, 1, seconds(1.05)).size(), 10U);
}

// Guards against a surge that starts late because the interval before it was drawn at the low rate.
TEST(schedule, a_surge_starts_and_ends_on_time)
{
    traffic_mix mix = make_mix(1.0);
    mix.accounts[0].surge_factor = 10.0;
    mix.accounts[0].surge_start = seconds(2.5);
    mix.accounts[0].surge_end = seconds(3.5);
    std::vector<double> times;
    for (const arrival& entry : all_arrivals(mix, arrival_spacing::fixed, 1, seconds(4.6)))
    {
        times.push_back(entry.send_offset.count());
    }
    // Arrivals at 1 s and 2 s precede the surge. Half of an interval has elapsed when the surge
    // starts, and half of one when it ends.
    ASSERT_EQ(times.size(), 13U);
    EXPECT_NEAR(times[2], 2.55, 1e-9);
    EXPECT_NEAR(times[11], 3.45, 1e-9);
    EXPECT_NEAR(times[12], 4.0, 1e-9);
}

} // namespace
} // namespace zinniaferry::load
