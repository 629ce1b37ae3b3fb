#include "fleet/contact.hpp"

#include "test/support/starting_daemon.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;
using test_support::starting_daemon;

constexpr core::time_point start = starting_daemon::started_at;
/// Longer than the network partitions that daemons start in.
constexpr core::duration partition_time = 12s;

// Expects that the daemon does not take the members that it knows for the whole fleet.
void expect_cut_off(starting_daemon& hub, std::size_t members, const std::string& what)
{
    for (core::duration time = 200ms; time <= partition_time; time += 200ms)
    {
        const size_estimate size = hub.estimate(start + time);
        EXPECT_FALSE(size.is_known) << what << " after " << core::to_seconds(time) << " s";
        EXPECT_GE(size.members_known, 20 * members) << what << ": its pools must stay small";
        EXPECT_FALSE(make_fleet_summary(hub.registry, start + time).settled) << what;
    }
}

// Returns when the daemon knows the size of the fleet, or `end`.
core::time_point known_at(starting_daemon& hub, core::time_point from, core::time_point end)
{
    core::time_point now = from;
    while (now < end && !hub.estimate(now).is_known)
    {
        now += 100ms;
    }
    return now;
}

// Guards against some of the seeds that are cut off, start again and take themselves for the whole
// fleet, because they are more than half of the seeds: they granted every account's whole rate
// beside the others, which had not started again and used their share of it.
TEST(contact, some_of_the_seeds_are_not_the_fleet_however_many)
{
    starting_daemon two_of_three("s1");
    two_of_three.receive_hello("s2", start + 100ms);
    expect_cut_off(two_of_three, 2, "two of three seeds");

    starting_daemon with_member("s1");
    with_member.receive_hello("s2", start + 100ms);
    with_member.receive_hello("m4", start + 100ms);
    expect_cut_off(with_member, 3, "two of three seeds and a member");

    starting_daemon one_of_two("s1", "a", {"s1", "s2"});
    one_of_two.receive_hello("m4", start + 100ms);
    expect_cut_off(one_of_two, 2, "one of two seeds and a member");
}

// Guards against the only seed, cut off and started again, that takes itself for the whole fleet.
TEST(contact, the_only_seed_alone_is_not_the_fleet)
{
    starting_daemon seed("s1", "a", {"s1"});
    expect_cut_off(seed, 1, "the only seed");
}

// Guards against a data centre that is cut off, starts again and takes itself for the whole fleet
// because all seeds are in it.
TEST(contact, all_seeds_without_the_other_data_centres_are_not_the_fleet)
{
    starting_daemon hub("s1");
    hub.registry.data_centres = {"a", "b", "c"};
    hub.receive_hello("s2", start + 100ms);
    hub.receive_hello("s3", start + 100ms);
    hub.receive_hello("m4", start + 100ms, 0, "b");
    expect_cut_off(hub, 4, "two of three data centres");

    starting_daemon only_seed("s1", "a", {"s1"});
    only_seed.registry.data_centres = {"a", "b"};
    only_seed.receive_hello("m2", start + 100ms);
    expect_cut_off(only_seed, 2, "the data centre of the only seed");
}

// Guards against members that are taken for the fleet while its data centres are not known.
TEST(contact, a_daemon_without_a_configuration_waits_for_it)
{
    starting_daemon hub("s1");
    hub.registry.data_centres = std::nullopt;
    hub.receive_hello("s2", start + 100ms);
    hub.receive_hello("s3", start + 100ms);
    EXPECT_FALSE(hub.estimate(start + 4s).is_known);
    hub.registry.data_centres = {"a"};
    EXPECT_FALSE(hub.estimate(start + 5s).is_known);
    EXPECT_TRUE(hub.estimate(start + 8s).is_known);
}

// Guards against a fleet that has no rates for long after all machines have lost power.
TEST(contact, a_whole_fleet_that_starts_again_is_known_after_the_discovery_time)
{
    starting_daemon hub("s1");
    hub.registry.data_centres = {"a", "b"};
    for (const char* address : {"s2", "s3", "m4", "m5", "m6"})
    {
        hub.receive_hello(address, start + 300ms, 0, address[0] == 'm' ? "b" : "a");
    }
    EXPECT_EQ(hub.estimate(start + 2s).members_known, 20U) << "others may not have subscribed yet";
    EXPECT_LE(known_at(hub, start, start + 20s), start + 5s);
    EXPECT_EQ(hub.estimate(start + 6s).members_known, 6U);
    // Afterwards a partition does not take away what is known.
    hub.lose("s2", start + 7s);
    hub.lose("s3", start + 7s);
    EXPECT_TRUE(hub.estimate(start + 20s).is_known);
    EXPECT_EQ(hub.estimate(start + 20s).members_known, 6U);

    starting_daemon only_seed("s1", "a", {"s1"});
    only_seed.receive_hello("m2", start + 300ms);
    EXPECT_LE(known_at(only_seed, start, start + 20s), start + 5s);
}

// Guards against a part of a fleet that starts again as a whole and is divided a moment later: both
// sides had met each other, and each took the members on its side for all.
TEST(contact, contact_that_is_lost_before_the_members_are_known_begins_anew)
{
    starting_daemon hub("s1");
    hub.receive_hello("s2", start + 100ms);
    hub.receive_hello("s3", start + 100ms);
    EXPECT_EQ(hub.estimate(start + 200ms).members_known, 20U);
    hub.lose("s3", start + 500ms);
    for (core::duration time = 600ms; time <= partition_time; time += 200ms)
    {
        EXPECT_FALSE(hub.estimate(start + time).is_known);
    }
    hub.receive_hello("s3", start + partition_time);
    EXPECT_EQ(known_at(hub, start + partition_time, start + 20s), start + partition_time + 3s);
}

// Guards against a fleet that serves next to nothing because its seeds are out of date, and against
// a single daemon that waits for others for ever.
TEST(contact, a_group_and_an_only_seed_are_the_fleet_in_the_end)
{
    starting_daemon hub("s1");
    hub.receive_hello("s2", start + 100ms);
    EXPECT_LE(known_at(hub, start, start + 20s), start + 14s);

    starting_daemon single("s1", "a", {"s1"});
    EXPECT_LE(known_at(single, start, start + 20s), start + 14s);
    EXPECT_EQ(single.estimate(start + 20s).members_known, 1U);

    starting_daemon without_seeds("m1", "a", {});
    EXPECT_EQ(known_at(without_seeds, start, start + 20s), start + 3s);
}

/// The side of a partition that has lost `lost` and still hears of `heard`, a second after the
/// loss.
starting_daemon remaining_side(const std::vector<member>& lost, const std::vector<member>& heard)
{
    starting_daemon daemon("m9");
    daemon.registry.data_centres = {"a", "b"};
    on_members_heard(daemon.heard, daemon.choice, lost, start);
    on_members_heard(daemon.heard, daemon.choice, heard, start + 1s);
    return daemon;
}

// Returns whether the shares are given up, while the members of `heard` are heard of.
bool gives_up_shares(starting_daemon& daemon, const std::vector<member>& heard,
                     core::duration since_loss)
{
    on_members_heard(daemon.heard, daemon.choice, heard, start + since_loss);
    return may_others_be_the_fleet(daemon.registry, daemon.choice, daemon.heard,
                                   start + since_loss);
}

const std::vector<member> seeds = {
    {"vm-s1", "s1", 0, "a"}, {"vm-s2", "s2", 0, "a"}, {"vm-s3", "s3", 0, "b"}};
const std::vector<member> others = {{"vm-m7", "m7", 0, "a"}, {"vm-m8", "m8", 0, "b"}};

// Guards against both sides of a partition that grant an account's rate: the part of a fleet that
// holds all seeds and members in all data centres sees the same after a restart as a fleet that
// consists of these members, and takes itself for it. The others must not use their shares then.
TEST(contact, a_side_without_seeds_gives_way_to_a_part_that_looks_like_the_fleet)
{
    starting_daemon restarted("s1");
    restarted.registry.data_centres = {"a", "b"};
    restarted.receive_hello("s2", start + 300ms);
    restarted.receive_hello("s3", start + 300ms, 0, "b");
    const core::time_point restarted_knows = known_at(restarted, start + 300ms, start + 20s);
    EXPECT_EQ(restarted_knows, start + 3300ms);

    starting_daemon remaining = remaining_side(seeds, others);
    EXPECT_FALSE(gives_up_shares(remaining, others, 2900ms)) << "no seed restarts so fast";
    for (core::duration time = 3s; time <= partition_time; time += 500ms)
    {
        EXPECT_TRUE(gives_up_shares(remaining, others, time));
    }
    EXPECT_FALSE(gives_up_shares(remaining, others, 13s)) << "the seeds may be down for good";
}

// Guards against refusals of what accounts are owed when no part that restarts can take itself for
// the fleet: a seed is left, or the lost members are not in all data centres.
TEST(contact, a_side_keeps_its_shares_unless_the_others_can_look_like_the_fleet)
{
    const std::vector<member> two_seeds(seeds.begin(), seeds.begin() + 2);
    std::vector<member> with_seed = others;
    with_seed.push_back(seeds[2]);
    starting_daemon seed_left = remaining_side(two_seeds, with_seed);
    EXPECT_FALSE(gives_up_shares(seed_left, with_seed, 5s));

    const std::vector<member> seeds_in_a = {
        {"vm-s1", "s1", 0, "a"}, {"vm-s2", "s2", 0, "a"}, {"vm-s3", "s3", 0, "a"}};
    starting_daemon data_centre_left = remaining_side(seeds_in_a, others);
    EXPECT_FALSE(gives_up_shares(data_centre_left, others, 5s));

    // A member that was lost long before cannot be with the seeds.
    starting_daemon earlier = remaining_side(seeds_in_a, others);
    earlier.heard.members["vm-old"] = {.data_centre = "b", .last_heard = start - 10s};
    EXPECT_FALSE(gives_up_shares(earlier, others, 5s));

    const std::vector<member> one_seed = {seeds[0], {"vm-m1", "m1", 0, "b"}};
    starting_daemon unmet_seeds = remaining_side(one_seed, others);
    EXPECT_FALSE(gives_up_shares(unmet_seeds, others, 5s)) << "two seeds are out of date";
}

// Guards against a daemon that is cut off by itself and refuses all requests of accounts: its share
// is within what is tolerated above the rates.
TEST(contact, a_small_side_keeps_its_shares)
{
    std::vector<member> lost = seeds;
    for (int i = 0; i < 16; ++i)
    {
        lost.push_back({"vm-x" + std::to_string(i), "x" + std::to_string(i), 0, "b"});
    }
    starting_daemon alone = remaining_side(lost, {});
    EXPECT_FALSE(gives_up_shares(alone, {}, 5s));
    starting_daemon with_others = remaining_side(lost, others);
    EXPECT_TRUE(gives_up_shares(with_others, others, 5s));
}

// Guards against a seed that is never met because it knows this daemon by another address: a hub
// connects to it until the fleet is known.
TEST(contact, a_hub_connects_to_a_seed_that_it_has_not_met)
{
    starting_daemon hub("s1");
    EXPECT_EQ(connections_to_open(hub.choice, start), std::vector<std::string>{"s2"});
    hub.receive_hello("s2", start + 100ms);
    hub.estimate(start + 150ms);
    EXPECT_TRUE(connections_to_open(hub.choice, start + 150ms).empty()) << "it may come by itself";
    hub.estimate(start + 600ms);
    EXPECT_EQ(connections_to_open(hub.choice, start + 600ms), std::vector<std::string>{"s3"});
    EXPECT_TRUE(is_wanted(hub.choice, "s3", start + 600ms));
    on_connected(hub.choice, "s3", start + 700ms);
    for (core::duration time = 800ms; time <= 4s; time += 400ms)
    {
        on_met(hub.choice, "s3", start + time);
        EXPECT_TRUE(is_wanted(hub.choice, "s3", start + time));
        hub.estimate(start + time);
    }
    EXPECT_TRUE(hub.estimate(start + 4s).is_known);
    hub.estimate(start + 5s);
    EXPECT_FALSE(is_wanted(hub.choice, "s3", start + 5s)) << "two hubs are enough";
}

// Guards against connections of every daemon of a large fleet to all seeds.
TEST(contact, a_daemon_that_is_no_hub_connects_to_its_hubs_only)
{
    starting_daemon daemon("m7");
    on_connected(daemon.choice, "s1", start);
    on_connected(daemon.choice, "s2", start);
    for (core::duration time = 0s; time <= 5s; time += 200ms)
    {
        on_update(daemon.choice, "s1", start + time, start + time);
        on_update(daemon.choice, "s2", start + time, start + time);
        daemon.estimate(start + time);
        EXPECT_FALSE(is_wanted(daemon.choice, "s3", start + time));
    }
}

} // namespace
} // namespace zinniaferry::fleet
