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

// Shows what no daemon can tell apart: the part of a larger fleet that holds all seeds and members
// in all data centres, cut off and started again, sees the same as a fleet that consists of these.
TEST(contact, a_part_with_all_seeds_and_data_centres_is_taken_for_the_fleet)
{
    starting_daemon hub("s1");
    hub.registry.data_centres = {"a", "b"};
    hub.receive_hello("s2", start + 100ms);
    hub.receive_hello("s3", start + 100ms, 0, "b");
    EXPECT_TRUE(hub.estimate(start + 100ms).members_known == 20 &&
                hub.estimate(start + 4s).is_known);
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
