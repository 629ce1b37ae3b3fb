#include "limits/body_budget.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace zinniaferry::limits
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start = core::time_point(1000s);
constexpr std::uint64_t mb = 1ULL << 20U;
constexpr core::duration time_limit = 3s;

body_budget make_budget()
{
    return {.options = make_body_budget_options(64 * mb)};
}

body_id add_sender(body_budget& budget, std::uint64_t bytes, core::time_point now)
{
    const body_id id = add_body(budget);
    EXPECT_EQ(reserve(budget, id, bytes), reservation::granted);
    begin_transfer(budget, id, bytes, now, now + time_limit);
    return id;
}

// Guards against a process that takes more memory than it may when many bodies come at once.
TEST(body_budget, a_crowd_of_large_bodies_stays_below_the_limit)
{
    body_budget budget = make_budget();
    std::size_t granted = 0;
    for (int i = 0; i < 48; ++i)
    {
        granted += reserve(budget, add_body(budget), 4 * mb) == reservation::granted ? 1 : 0;
    }
    EXPECT_EQ(granted, 7U);
    EXPECT_LE(budget.held, 32 * mb);
}

// Guards against ordinary requests that are kept out by large bodies.
TEST(body_budget, small_bodies_find_room_beside_a_crowd_of_large_ones)
{
    body_budget budget = make_budget();
    while (reserve(budget, add_body(budget), 4 * mb) == reservation::granted)
    {
    }
    EXPECT_EQ(reserve(budget, add_body(budget), 64 * 1024), reservation::granted);
}

// Guards against a legal body that a process refuses in calm, and against one that ends it.
TEST(body_budget, a_single_body_may_be_above_the_common_limit_but_not_above_the_memory)
{
    body_budget budget = make_budget();
    EXPECT_EQ(reserve(budget, add_body(budget), 40 * mb), reservation::granted);
    EXPECT_EQ(reserve(budget, add_body(budget), 1 * mb), reservation::wait);
    EXPECT_EQ(reserve(budget, add_body(budget), 64 * mb), reservation::too_large);
}

// Guards against room that is lost when bodies grow and are released.
TEST(body_budget, released_room_is_free_again)
{
    body_budget budget = make_budget();
    const body_id id = add_body(budget);
    for (std::uint64_t bytes = 16 * 1024; bytes <= 8 * mb; bytes *= 2)
    {
        EXPECT_EQ(reserve(budget, id, bytes), reservation::granted);
    }
    EXPECT_EQ(budget.held, 8 * mb);
    EXPECT_EQ(budget.held_large, 8 * mb);
    release(budget, id);
    EXPECT_EQ(budget.held, 0U);
    EXPECT_EQ(budget.held_large, 0U);
}

// Guards against bodies that stop short of their end and keep their room from others.
TEST(body_budget, the_caller_that_stalls_for_longest_loses_its_place)
{
    body_budget budget = make_budget();
    const body_id longer = add_sender(budget, 4 * mb, start);
    const body_id shorter = add_sender(budget, 4 * mb, start);
    const body_id moving = add_sender(budget, 4 * mb, start);
    on_progress(budget, longer, 4 * mb - 10, start + 100ms);
    on_progress(budget, shorter, 4 * mb - 10, start + 200ms);
    on_progress(budget, moving, 3 * mb, start + 700ms);
    EXPECT_EQ(slowest_transfer(budget, 4 * mb, start + 500ms), std::nullopt);
    EXPECT_EQ(slowest_transfer(budget, 4 * mb, start + 720ms), longer);
    end_transfer(budget, longer);
    EXPECT_EQ(slowest_transfer(budget, 4 * mb, start + 720ms), shorter);
    end_transfer(budget, shorter);
    EXPECT_EQ(slowest_transfer(budget, 4 * mb, start + 720ms), std::nullopt);
}

// Guards against a trickle of bytes that holds a place and cannot be complete in time.
TEST(body_budget, a_caller_behind_its_time_loses_its_place_and_a_steady_one_does_not)
{
    body_budget budget = make_budget();
    const body_id trickle = add_sender(budget, 4 * mb, start);
    const body_id steady = add_sender(budget, 4 * mb, start);
    for (int i = 1; i <= 10; ++i)
    {
        on_progress(budget, trickle, static_cast<std::uint64_t>(i), start + i * 100ms);
        on_progress(budget, steady, i * mb * 3 / 8, start + i * 100ms);
    }
    EXPECT_EQ(slowest_transfer(budget, 4 * mb, start + 1s), trickle);
    end_transfer(budget, trickle);
    EXPECT_EQ(slowest_transfer(budget, 4 * mb, start + 1s), std::nullopt);
}

// Guards against a process that takes more memory than it may because a large body that is the only
// one is let in whatever the small ones hold already.
TEST(body_budget, a_single_large_body_and_the_small_ones_stay_below_its_limit)
{
    body_budget budget = make_budget();
    while (reserve(budget, add_body(budget), 64 * 1024) == reservation::granted)
    {
    }
    EXPECT_EQ(budget.held, 32 * mb);
    EXPECT_EQ(reserve(budget, add_body(budget), 40 * mb), reservation::wait);
    EXPECT_EQ(reserve(budget, add_body(budget), 12 * mb), reservation::granted);
    EXPECT_LE(budget.held, budget.options.single_bytes);
}

// Guards against a large body that gets no room until a crowd of small ones that have stalled
// reaches its time limit.
TEST(body_budget, small_bodies_that_have_stalled_make_way_for_a_large_one_that_they_keep_out)
{
    body_budget budget = make_budget();
    const body_id stalled = add_sender(budget, 64 * 1024, start);
    const body_id moving = add_sender(budget, 64 * 1024, start);
    on_progress(budget, moving, 1, start + 900ms);
    EXPECT_EQ(slowest_transfer(budget, 43 * mb, start + 1s), std::nullopt) << "there is room";
    EXPECT_EQ(slowest_transfer(budget, 44 * mb, start + 1s), stalled);
    end_transfer(budget, stalled);
    EXPECT_EQ(slowest_transfer(budget, 44 * mb, start + 1s), std::nullopt);
}

// Guards against small callers that are closed although that makes no room for a large body.
TEST(body_budget, a_small_body_does_not_make_way_for_a_large_one)
{
    body_budget budget = make_budget();
    const body_id small = add_sender(budget, 1024, start);
    EXPECT_EQ(slowest_transfer(budget, 4 * mb, start + 2s), std::nullopt);
    EXPECT_EQ(slowest_transfer(budget, 1024, start + 2s), small);
}

// Guards against a limit where the settings state none.
TEST(body_budget, a_process_without_a_stated_limit_refuses_nothing)
{
    body_budget budget = {.options = make_body_budget_options(0)};
    for (int i = 0; i < 1000; ++i)
    {
        EXPECT_EQ(reserve(budget, add_body(budget), 64 * mb), reservation::granted);
    }
}

} // namespace
} // namespace zinniaferry::limits
