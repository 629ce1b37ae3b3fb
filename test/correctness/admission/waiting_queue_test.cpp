#include "admission/waiting_queue.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

// Guards against a free slot that goes to a less urgent request, or to one that is nearly late
// while another of its priority has time left.
TEST(waiting_queue, the_most_urgent_with_the_most_time_left_comes_first)
{
    waiting_queue queue;
    enter(queue, {.id = 1, .priority = 1, .latest_start = start + 900ms});
    enter(queue, {.id = 2, .priority = 0, .latest_start = start + 100ms});
    enter(queue, {.id = 3, .priority = 0, .latest_start = start + 200ms});
    for (const std::uint64_t id : {3U, 2U, 1U})
    {
        EXPECT_EQ(first(queue), id);
        EXPECT_TRUE(leave(queue, id));
        EXPECT_FALSE(contains(queue, id));
    }
    EXPECT_FALSE(first(queue));
}

// Guards against a queue that grows without bound, and against a flood that displaces the urgent.
TEST(waiting_queue, the_least_urgent_leaves_a_full_queue)
{
    waiting_queue queue;
    enter(queue, {.id = 1, .priority = 0, .latest_start = start});
    std::uint64_t id = 2;
    while (!enter(queue, {.id = id, .priority = 1, .latest_start = start}) && id < 10'000)
    {
        ++id;
    }
    EXPECT_LT(id, 10'000U);
    EXPECT_EQ(enter(queue, {.id = 10'001, .priority = 2}), 10'001U) << "it leaves at once";
    EXPECT_NE(enter(queue, {.id = 10'002, .priority = 0, .latest_start = start}), 10'002U);
    EXPECT_TRUE(contains(queue, 1));
    EXPECT_FALSE(leave(queue, 10'001)) << "it was not in the queue";
}

} // namespace
} // namespace zinniaferry::admission
