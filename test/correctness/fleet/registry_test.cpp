#include "fleet/registry.hpp"

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

// Guards against a daemon that starts while it is cut off from all others and takes itself for the
// whole fleet: it granted every account's whole rate, 3 s after its start, beside the others.
TEST(registry, a_daemon_that_starts_cut_off_does_not_know_the_fleets_size)
{
    for (const char* address : {"m7", "s1"})
    {
        starting_daemon cut_off(address);
        for (core::duration time = 0s; time <= 1h; time += 500ms)
        {
            const size_estimate size = cut_off.estimate(start + time);
            EXPECT_FALSE(size.is_known) << address << " after " << core::to_seconds(time) << " s";
            EXPECT_GE(size.members_known, 20U);
        }
    }
}

// Guards against the same fault in a group of daemons, one of them a seed, that start together
// behind a network partition, however many they are.
TEST(registry, a_group_that_starts_cut_off_from_most_seeds_does_not_know_the_fleets_size)
{
    for (const std::size_t others : {1U, 5U, 40U, 150U})
    {
        starting_daemon hub("s1");
        for (std::size_t i = 0; i < others; ++i)
        {
            hub.receive_hello("m" + std::to_string(i), start + 100ms);
        }
        for (core::duration time = 200ms; time <= partition_time; time += 200ms)
        {
            const size_estimate size = hub.estimate(start + time);
            EXPECT_FALSE(size.is_known);
            EXPECT_GE(size.members_known, 20 * (others + 1)) << "its pools must stay small";
            EXPECT_FALSE(make_fleet_summary(hub.registry, start + time).settled);
        }
    }
}

// Guards against a fleet that serves next to nothing because its seeds are out of date or down.
TEST(registry, a_group_takes_itself_for_the_fleet_in_the_end)
{
    starting_daemon hub("s1");
    hub.receive_hello("m1", start + 100ms);
    hub.receive_hello("m2", start + 300ms);
    const size_estimate size = hub.estimate(start + 14s);
    EXPECT_TRUE(size.is_known);
    EXPECT_EQ(size.members_known, 3U);
}

// Guards against a daemon that comes back into touch and takes itself for settled at once, although
// the others have not subscribed to it yet.
TEST(registry, the_discovery_time_begins_with_the_contact)
{
    starting_daemon hub("s1");
    EXPECT_FALSE(hub.estimate(start + 30s).is_known);
    hub.receive_hello("s2", start + 30s);
    hub.receive_hello("s3", start + 30s);
    EXPECT_FALSE(hub.estimate(start + 30s).is_known);
    EXPECT_FALSE(hub.estimate(start + 32s).is_known);
    EXPECT_TRUE(hub.estimate(start + 33s).is_known);
}

// Guards against a hub that starts again on the small side of a network partition and divides the
// rates by the few members there, although these remember the size of the fleet.
TEST(registry, a_hub_that_starts_again_learns_the_fleets_size_from_its_subscribers)
{
    starting_daemon hub("s1");
    hub.receive_hello("m1", start + 100ms, 19);
    hub.receive_hello("m2", start + 100ms);
    EXPECT_FALSE(hub.estimate(start + 200ms).is_known) << "others may not have subscribed yet";
    const size_estimate size = hub.estimate(start + 4s);
    EXPECT_TRUE(size.is_known);
    EXPECT_EQ(size.members_known, 19U);
    EXPECT_EQ(make_fleet_summary(hub.registry, start + 4s).members_known, 19U);
}

// Guards against a daemon without a share although a hub has told it the size of the fleet.
TEST(registry, a_hub_that_knows_the_fleet_tells_its_size)
{
    starting_daemon daemon("m7");
    daemon.hub_messages.push_back({.members_known = 9, .settled = true});
    const size_estimate size = daemon.estimate(start + 100ms);
    EXPECT_TRUE(size.is_known);
    EXPECT_EQ(daemon.estimate(start + 4s).members_known, 9U);
}

// Guards against a daemon that is cut off for longer than disconnected members stay known, and then
// takes the members on its side for the whole fleet.
TEST(registry, most_of_the_members_do_not_leave_at_once)
{
    known_size size;
    EXPECT_EQ(largest_recent_size(size, 9, start), 9U);
    EXPECT_EQ(largest_recent_size(size, 1, start + 31s), 9U);
    EXPECT_EQ(largest_recent_size(size, 4, start + 9min), 9U);
    EXPECT_EQ(largest_recent_size(size, 4, start + 11min), 4U);
}

} // namespace
} // namespace zinniaferry::fleet
