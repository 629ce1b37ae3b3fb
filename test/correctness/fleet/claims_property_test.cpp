#include "support/claims_model.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace zinniaferry::fleet::test
{
namespace
{

constexpr auto run_length = 240s;

void add(fault_counts& sum, const fault_counts& more)
{
    sum.lost += more.lost;
    sum.delayed += more.delayed;
    sum.repeated += more.repeated;
    sum.pauses += more.pauses;
    sum.restarts += more.restarts;
    sum.restarts_of_all += more.restarts_of_all;
    sum.replacements += more.replacements;
    sum.late_wakes += more.late_wakes;
    sum.claims += more.claims;
    sum.claimed += more.claimed;
    sum.taken += more.taken;
    sum.failed += more.failed;
    sum.forwarded += more.forwarded;
    sum.too_early += more.too_early;
}

fault_counts run_seeds(claims_model_options options, std::uint64_t seeds)
{
    fault_counts sum;
    for (options.seed = 1; options.seed <= seeds; ++options.seed)
    {
        claims_model model(options);
        model.run(run_length);
        EXPECT_TRUE(options.fault != voter_fault::none || model.counts().too_early == 0)
            << "seed " << options.seed;
        add(sum, model.counts());
    }
    std::cout << "claims: lost " << sum.lost << ", delayed " << sum.delayed << ", repeated "
              << sum.repeated << ", pauses " << sum.pauses << ", restarts " << sum.restarts
              << ", all at once " << sum.restarts_of_all << ", replaced in turn "
              << sum.replacements << ", term over at use " << sum.late_wakes << ", claims "
              << sum.claims << ", claimed " << sum.claimed << ", taken " << sum.taken << ", failed "
              << sum.failed << ", forwarded " << sum.forwarded << ", forwarded too early "
              << sum.too_early << '\n';
    return sum;
}

// Guards R8: a key that is forwarded twice within the window, while processes are lost, paused,
// restarted (a minority at once) and all replaced in turn.
TEST(claims_property, no_key_is_forwarded_twice_within_the_window)
{
    const fault_counts sum = run_seeds({}, 12);
    EXPECT_GT(sum.lost, 0);
    EXPECT_GT(sum.delayed, 0);
    EXPECT_GT(sum.repeated, 0);
    EXPECT_GT(sum.pauses, 0);
    EXPECT_GT(sum.restarts, 0);
    EXPECT_GT(sum.replacements, 12 * 5);
    EXPECT_GT(sum.late_wakes, 0);
    EXPECT_GT(sum.taken, 0);
    EXPECT_GT(sum.forwarded, 100);
}

// Guards against labels and voting by age that forget a claim after the loss of all records.
TEST(claims_property, holds_when_all_processes_restart_at_once)
{
    const fault_counts sum = run_seeds({.restarts_of_all = true}, 12);
    EXPECT_GT(sum.restarts_of_all, 0);
    EXPECT_GT(sum.forwarded, 100);
}

// Guards against an even fleet, where half the processes are no majority.
TEST(claims_property, holds_in_an_even_fleet)
{
    const fault_counts sum = run_seeds({.processes = 4}, 6);
    EXPECT_GT(sum.forwarded, 50);
    EXPECT_GT(sum.taken, 0) << "half of the voters refuse before a majority has answered";
}

// Shows that the check above can fail.
TEST(claims_property, check_finds_a_voter_that_forgets)
{
    EXPECT_GT(run_seeds({.fault = voter_fault::forgets}, 2).too_early, 0);
}

TEST(claims_property, check_finds_a_voter_that_does_not_copy)
{
    EXPECT_GT(run_seeds({.fault = voter_fault::skips_copying}, 4).too_early, 0);
}

} // namespace
} // namespace zinniaferry::fleet::test
