#include "admission/service_load.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1h};

// Guards against averages that stand for another rate than that of the events, or that do not
// forget a burst that is over.
TEST(service_load, averages_follow_the_rates_and_forget_them_within_seconds)
{
    load_meter meter;
    for (int i = 0; i < 1000; ++i)
    {
        const core::time_point now = start + 10ms * i;
        on_arrival(meter, 0, now);
        on_attempt_began(meter);
        on_attempt_ended(meter, i % 2 == 0, now);
        if (i % 4 == 0)
        {
            on_rejected(meter, 3, now);
        }
    }
    const service_load during = read(meter, start + 10s);
    EXPECT_NEAR(during.by_priority[0].arrivals, 100.0, 5.0);
    EXPECT_NEAR(during.completions, 50.0, 3.0);
    EXPECT_NEAR(during.by_priority[3].rejections, 25.0, 2.0);
    const service_load after = read(meter, start + 15s);
    EXPECT_LT(after.by_priority[0].arrivals, 1.0);
    EXPECT_EQ(read(meter, start + 10s), during) << "reading must not change the meter";
}

// Guards against counts of running and waiting requests that drift, also when a request outlives
// the meter that counted its beginning, and against a large priority that is out of bounds.
TEST(service_load, counts_are_exact_and_never_negative)
{
    load_meter meter;
    on_wait_began(meter);
    on_wait_began(meter);
    on_wait_ended(meter);
    on_attempt_began(meter);
    EXPECT_EQ(read(meter, start).waiting, 1.0);
    EXPECT_EQ(read(meter, start + 1h).running, 1.0);
    for (int i = 0; i < 3; ++i)
    {
        on_wait_ended(meter);
        on_attempt_ended(meter, false, start);
    }
    EXPECT_EQ(read(meter, start).waiting, 0.0);
    EXPECT_EQ(read(meter, start).running, 0.0);
    on_arrival(meter, 4'000'000'000U, start);
    EXPECT_EQ(read(meter, start).by_priority.back().arrivals, 1.0);
}

// Guards against decisions by a load from before a hub was lost, or of a service nobody used.
TEST(service_load, only_a_recent_load_of_the_fleet_is_found)
{
    service_load sum = {.running = 1.0, .completions = 2.0};
    add(sum, {.running = 3.0, .waiting = 4.0, .completions = 5.0});
    const fleet_load load = {.by_service = {{"sheets", sum}}, .as_of = start};
    const service_load* found = find_recent(load, "sheets", start + 1s);
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(*found, (service_load{.running = 4.0, .waiting = 4.0, .completions = 7.0}));
    EXPECT_EQ(find_recent(load, "sheets", start + 2s), nullptr);
    EXPECT_EQ(find_recent(load, "orders", start + 1s), nullptr);
    EXPECT_EQ(find_recent({}, "sheets", start), nullptr);
}

} // namespace
} // namespace zinniaferry::admission
