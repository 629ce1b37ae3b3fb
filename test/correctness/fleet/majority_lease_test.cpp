#include "fleet/majority_lease.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
constexpr core::time_point ready = start + 11s;

config::configuration fleet_of(std::uint32_t max_vms)
{
    return {.version = 1, .max_vms = max_vms, .pool_groups = 1};
}

core::process_id id_of(int i, std::uint64_t incarnation = 1)
{
    return {.vm = "vm" + std::to_string(i), .incarnation = incarnation};
}

majority_lease member(int i, core::time_point now, std::uint32_t max_vms = 3)
{
    majority_lease state = make_majority_lease(id_of(i), {}, now);
    apply_configuration(state, fleet_of(max_vms), now);
    return state;
}

lease_reply vote_of(majority_lease& voter, int candidate, core::time_point now,
                    std::uint32_t max_vms = 3)
{
    const lease_request request{.group = 0, .max_vms = max_vms, .round = 1};
    return std::get<lease_reply>(handle(voter, id_of(candidate), request, now).at(0).body);
}

// Drives the candidate until it asks; returns the time of the round.
core::time_point drive_to_round(majority_lease& candidate, core::time_point now)
{
    core::random_generator random(3);
    const std::uint64_t before = candidate.candidacies[0].round;
    while (candidate.candidacies[0].round == before)
    {
        now += 10ms;
        tick(candidate, {"vm1", "vm2"}, now, random);
    }
    return now;
}

// Guards against a voter that acknowledges two holders, or forgets one after a restart.
TEST(majority_lease, voter_acknowledges_one_holder_and_nobody_in_quarantine)
{
    majority_lease voter = member(0, start);
    EXPECT_FALSE(vote_of(voter, 1, start + 9999ms).granted);
    EXPECT_TRUE(vote_of(voter, 1, ready).granted);
    const lease_reply second = vote_of(voter, 2, ready + 9999ms);
    EXPECT_FALSE(second.granted);
    EXPECT_EQ(second.holder, id_of(1));
    EXPECT_TRUE(vote_of(voter, 2, ready + 10s).granted);
}

// Guards against majorities that are counted from different fleet sizes.
TEST(majority_lease, voter_refuses_another_max_vms)
{
    majority_lease voter = member(0, start);
    EXPECT_FALSE(vote_of(voter, 1, ready, 4).granted);
}

// Guards against a term counted from the answer, and a holder that wakes late.
TEST(majority_lease, holds_from_when_it_asked_less_the_margin)
{
    majority_lease candidate = member(0, start);
    const core::time_point asked = drive_to_round(candidate, ready);
    EXPECT_FALSE(held_until(candidate, 0, asked));
    const std::uint64_t round = candidate.candidacies[0].round;
    handle(candidate, id_of(1), lease_reply{.round = round, .granted = true}, asked + 1s);
    EXPECT_EQ(held_until(candidate, 0, asked + 1s), asked + 9800ms);
    EXPECT_FALSE(held_until(candidate, 0, asked + 9800ms));
}

// Guards against votes of a former round or of one voter counted twice.
TEST(majority_lease, counts_each_voter_of_the_present_round_once)
{
    majority_lease candidate = member(0, start, 5);
    const core::time_point asked = drive_to_round(candidate, ready);
    const std::uint64_t round = candidate.candidacies[0].round;
    handle(candidate, id_of(1), lease_reply{.round = round, .granted = true}, asked);
    handle(candidate, id_of(1), lease_reply{.round = round, .granted = true}, asked);
    handle(candidate, id_of(2), lease_reply{.round = round - 1, .granted = true}, asked);
    EXPECT_FALSE(held_until(candidate, 0, asked));
    handle(candidate, id_of(2), lease_reply{.round = round, .granted = true}, asked);
    EXPECT_TRUE(held_until(candidate, 0, asked));
}

// Guards against a late release that cancels a newer acknowledgement: after giving a lease up a
// process must never ask again.
TEST(majority_lease, never_asks_again_after_a_release)
{
    majority_lease candidate = member(0, start);
    const core::time_point asked = drive_to_round(candidate, ready);
    EXPECT_EQ(release_all(candidate, {"vm1", "vm2"}, asked).size(), 2U);
    core::random_generator random(1);
    for (core::time_point now = asked; now < asked + 60s; now += 100ms)
    {
        EXPECT_TRUE(tick(candidate, {"vm1", "vm2"}, now, random).empty());
    }
}

// Guards against a voter that keeps a group blocked after its holder gave it up.
TEST(majority_lease, voter_forgets_a_holder_that_released)
{
    majority_lease voter = member(0, start);
    ASSERT_TRUE(vote_of(voter, 1, ready).granted);
    handle(voter, id_of(2), lease_release{.group = 0}, ready);
    EXPECT_FALSE(vote_of(voter, 2, ready).granted);
    handle(voter, id_of(1), lease_release{.group = 0}, ready);
    EXPECT_TRUE(vote_of(voter, 2, ready).granted);
}

// Guards against a voter that forgets acknowledgements when groups are removed and added again.
TEST(majority_lease, keeps_acknowledgements_over_a_change_of_groups)
{
    majority_lease voter = member(0, start);
    ASSERT_TRUE(vote_of(voter, 1, ready).granted);
    apply_configuration(voter, {.max_vms = 3, .pool_groups = 0}, ready);
    apply_configuration(voter, fleet_of(3), ready);
    EXPECT_FALSE(vote_of(voter, 2, ready).granted);
}

} // namespace
} // namespace zinniaferry::fleet
