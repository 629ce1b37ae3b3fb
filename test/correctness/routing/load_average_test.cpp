#include "routing/load_reading.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

void record_readings(load_average& average, int count, std::uint32_t running, core::time_point at)
{
    for (int i = 0; i < count; ++i)
    {
        record(average, {.running = running, .slots = 2, .received_at = at});
    }
}

// Guards against a selection that compares two servers only while a burst takes most slots, or
// after a time in which nothing was read.
TEST(load_average, a_service_is_calm_only_while_recent_readings_show_free_slots)
{
    load_average average;
    EXPECT_FALSE(is_calm(average, start));
    record_readings(average, 60, 0, start);
    EXPECT_TRUE(is_calm(average, start));
    EXPECT_FALSE(is_calm(average, start + 3s));
    record_readings(average, 5, 2, start + 1s);
    EXPECT_FALSE(is_calm(average, start + 1s));
    record_readings(average, 60, 0, start + 1s);
    record_readings(average, 1, 0, start + 9s);
    EXPECT_FALSE(is_calm(average, start + 9s));
}

} // namespace
} // namespace zinniaferry::routing
