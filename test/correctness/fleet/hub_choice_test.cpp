#include "fleet/hub_choice.hpp"
#include "fleet/registry.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
using strings = std::vector<std::string>;

std::vector<member> members(int count)
{
    std::vector<member> out;
    for (int i = 0; i < count; ++i)
    {
        out.push_back({"vm-" + std::to_string(i), "m" + std::to_string(i)});
    }
    return out;
}

struct hub_choice_test : testing::Test
{
    void make(const std::string& self)
    {
        choice = {};
        choice.own_address = self;
        set_seeds(choice, {"s1", "s2", "s3"});
    }

    void connect(const std::string& address, core::time_point now, core::duration age = 100ms)
    {
        on_connected(choice, address, now);
        on_update(choice, address, now - age, now);
    }

    hub_choice choice;
};

// Guards against a daemon that connects to every seed and member although two hubs are enough.
TEST_F(hub_choice_test, the_first_two_seeds_are_the_hubs)
{
    make("m5");
    EXPECT_EQ(connections_to_open(choice, start), (strings{"s1", "s2"}));
    EXPECT_TRUE(connections_to_open(choice, start).empty()) << "both are being connected";
    connect("s1", start);
    connect("s2", start);
    set_members(choice, members(20));
    EXPECT_TRUE(connections_to_open(choice, start).empty());
    EXPECT_TRUE(has_current_hub(choice, start));
    EXPECT_FALSE(is_hub(choice, start));
    EXPECT_EQ(primary_hub(choice, start), "s1");
}

// Guards against a fleet that refuses requests within their account's rate because its hub's VM is
// so slow that grants come late, although its updates still arrive.
TEST_F(hub_choice_test, a_hub_whose_grants_are_late_is_not_the_primary)
{
    make("m5");
    connect("s1", start);
    connect("s2", start);
    for (int i = 0; i < 4; ++i)
    {
        on_grant_late(choice, "s1", start);
    }
    EXPECT_EQ(primary_hub(choice, start), "s1");
    on_grant_in_time(choice, "s1");
    for (int i = 0; i < 5; ++i)
    {
        EXPECT_EQ(primary_hub(choice, start), "s1") << "the count starts anew";
        on_grant_late(choice, "s1", start);
    }
    EXPECT_EQ(primary_hub(choice, start), "s2");
    on_closed(choice, "s2", start);
    EXPECT_EQ(primary_hub(choice, start), "s1") << "a slow hub is better than none";
    connect("s2", start + 9s);
    connect("s1", start + 9s);
    EXPECT_EQ(primary_hub(choice, start + 9s), "s2");
    connect("s1", start + 10s);
    EXPECT_EQ(primary_hub(choice, start + 10s), "s1");
}

// Guards against a call to the platform by every daemon when the whole fleet starts: the hubs start
// at the same time and send the others all entries.
TEST_F(hub_choice_test, a_starting_daemon_waits_for_its_hubs_before_it_follows_the_platform)
{
    make("m5");
    EXPECT_FALSE(must_follow_platform(choice, false, start, start + 50ms));
    EXPECT_TRUE(must_follow_platform(choice, false, start, start + 200ms))
        << "without a hub it would stay without a configuration";
    connect("s1", start + 1s);
    EXPECT_FALSE(must_follow_platform(choice, false, start, start + 1s));
    EXPECT_TRUE(must_follow_platform(choice, true, start, start + 1s)) << "it has subscribers";
    make("s2");
    EXPECT_TRUE(must_follow_platform(choice, false, start, start)) << "it is a hub";
}

// Guards against daemons that start before their seeds and stay without a hub once these are up,
// because the retry delay has grown.
TEST_F(hub_choice_test, a_daemon_without_a_hub_retries_its_seeds_quickly)
{
    make("m5");
    const strings seeds = {"s1", "s2", "s3"};
    core::time_point now = start;
    const auto fail_all = [&]
    {
        for (const std::string& seed : seeds)
        {
            on_closed(choice, seed, now);
        }
    };
    fail_all();
    for (int tries = 0; tries < 4; ++tries)
    {
        EXPECT_TRUE(connections_to_open(choice, now + 10ms).empty());
        now += 100ms;
        EXPECT_EQ(connections_to_open(choice, now), seeds) << tries;
        fail_all();
    }
    connect("s3", now);
    EXPECT_TRUE(connections_to_open(choice, now + 100ms).empty())
        << "with one hub connected, retries back off";
}

// Guards against a partitioned daemon that retries all seeds at the fast rate for minutes.
TEST_F(hub_choice_test, unreachable_seeds_are_retried_with_backoff)
{
    make("m5");
    int tries = 0;
    for (core::duration after{}; after < 60s; after += 50ms)
    {
        for (const std::string& seed : connections_to_open(choice, start + after))
        {
            tries += seed == "s1" ? 1 : 0;
            on_closed(choice, seed, start + after);
        }
    }
    EXPECT_LE(tries, 50);
    EXPECT_GE(tries, 30);
}

// Guards against a daemon that waits for a seed that is down instead of using the next candidate.
TEST_F(hub_choice_test, an_unreachable_seed_is_replaced_until_it_returns)
{
    make("m5");
    connections_to_open(choice, start);
    connect("s2", start);
    on_closed(choice, "s1", start);
    EXPECT_EQ(connections_to_open(choice, start + 10ms), (strings{"s3"}));
    connect("s3", start + 20ms);
    EXPECT_EQ(primary_hub(choice, start + 20ms), "s2");
    EXPECT_TRUE(is_wanted(choice, "s3", start + 20ms));
    EXPECT_EQ(connections_to_open(choice, start + 300ms), (strings{"s1"}))
        << "retried after the delay";
    connect("s1", start + 310ms);
    on_update(choice, "s2", start + 210ms, start + 310ms);
    EXPECT_EQ(primary_hub(choice, start + 310ms), "s1");
    EXPECT_FALSE(is_wanted(choice, "s3", start + 310ms)) << "no longer needed";
}

// Guards against a hub that is taken to be current although it lost the platform, or stopped
// sending without a connection reset.
TEST_F(hub_choice_test, stale_and_silent_hubs_are_not_current)
{
    make("m5");
    connections_to_open(choice, start);
    connect("s1", start, 3s);
    EXPECT_FALSE(has_current_hub(choice, start));
    EXPECT_EQ(primary_hub(choice, start), "s1")
        << "it is reachable, so it can grant account requests";
    connect("s2", start);
    EXPECT_TRUE(has_current_hub(choice, start));
    EXPECT_EQ(connections_to_open(choice, start), (strings{"s3"})) << "for a second current hub";
    EXPECT_FALSE(has_current_hub(choice, start + 2s));
    EXPECT_FALSE(primary_hub(choice, start + 2s)) << "no update within the silence timeout";
}

// Guards against connections to every member while the platform is down and no hub is current.
TEST_F(hub_choice_test, at_most_four_hubs_are_connected_while_all_are_stale)
{
    make("m5");
    set_members(choice, members(20));
    std::size_t connected = 0;
    for (int round = 0; round < 20; ++round)
    {
        for (const std::string& address : connections_to_open(choice, start))
        {
            connect(address, start, 10s);
            ++connected;
        }
    }
    EXPECT_EQ(connected, 4U);
    EXPECT_FALSE(has_current_hub(choice, start));
    EXPECT_EQ(primary_hub(choice, start), "s1");
}

// Guards against a fleet in which no daemon follows the platform: when no seed answers, the first
// two members in hash order are the hubs and must recognise themselves.
TEST_F(hub_choice_test, without_seeds_two_members_become_hubs)
{
    int hubs = 0;
    for (const member& self : members(10))
    {
        make(self.address);
        for (const char* seed : {"s1", "s2", "s3"})
        {
            on_closed(choice, seed, start);
        }
        set_members(choice, members(10));
        hubs += is_hub(choice, start) ? 1 : 0;
    }
    EXPECT_EQ(hubs, 2);
}

// Guards against a seed that does not recognise itself as a hub.
TEST_F(hub_choice_test, a_seed_among_the_first_two_is_a_hub_itself)
{
    make("s2");
    EXPECT_TRUE(is_hub(choice, start));
    EXPECT_EQ(connections_to_open(choice, start), (strings{"s1"}));
    make("s3");
    EXPECT_FALSE(is_hub(choice, start));
    on_closed(choice, "s1", start);
    EXPECT_TRUE(is_hub(choice, start));
}

// Guards against a fleet size that is too small while part of the fleet is partitioned, or that
// counts a restarted member twice.
TEST(registry, disconnected_members_stay_known_for_the_retention_time)
{
    registry hub{.self = {"vm-0", "m0"}, .started = start, .contact_since = start};
    for (const member& each : members(4))
    {
        if (each.vm != "vm-0")
        {
            on_hello(hub, {.self = each, .incarnation = 1}, start);
            on_report(hub, each.vm, {.primary = true}, start);
        }
    }
    EXPECT_EQ(make_fleet_message(hub, start).members.size(), 4U);
    EXPECT_EQ(count_primary_members(hub, start), 3U);
    on_unsubscribed(hub, "vm-1", 1, start + 1s);
    EXPECT_EQ(make_fleet_message(hub, start + 1s).members.size(), 3U);
    EXPECT_EQ(make_fleet_message(hub, start + 1s).members_known, 4U);
    EXPECT_EQ(count_primary_members(hub, start + 1s), 2U);
    on_hello(hub, {.self = {"vm-1", "m1"}, .incarnation = 2}, start + 2s);
    on_unsubscribed(hub, "vm-1", 1, start + 2s);
    EXPECT_EQ(make_fleet_message(hub, start + 2s).members.size(), 4U)
        << "the new incarnation is subscribed";
    on_unsubscribed(hub, "vm-2", 1, start + 2s);
    remove_expired_members(hub, start + 60s);
    EXPECT_EQ(make_fleet_message(hub, start + 60s).members_known, 3U);
    EXPECT_FALSE(make_fleet_message(hub, start + 1s).settled);
    EXPECT_TRUE(make_fleet_message(hub, start + 5s).settled);
}

// Guards against a hub that computes and sends its unchanged list of members again for every
// subscriber and every report.
TEST(registry, the_members_version_changes_only_with_the_members)
{
    registry hub{.self = {"vm-0", "m0"}, .started = start};
    const std::uint64_t empty = hub.members_version;
    on_hello(hub, {.self = {"vm-1", "m1"}, .incarnation = 1}, start);
    const std::uint64_t one = hub.members_version;
    EXPECT_NE(one, empty);
    EXPECT_TRUE(on_report(hub, "vm-1", {.primary = true}, start));
    EXPECT_FALSE(on_report(hub, "vm-1", {.primary = true}, start + 1s));
    EXPECT_FALSE(on_report(hub, "vm-2", {.primary = true}, start + 1s)) << "it is not a member";
    on_hello(hub, {.self = {"vm-1", "m1"}, .incarnation = 2}, start + 2s);
    on_unsubscribed(hub, "vm-1", 1, start + 2s);
    EXPECT_EQ(hub.members_version, one);
    on_unsubscribed(hub, "vm-1", 2, start + 3s);
    EXPECT_NE(hub.members_version, one);
}

// Guards against daemons that lose their hubs and each take themselves to be the whole fleet, so
// that all of them send to a cold server whose allowance is enough for two.
TEST(member_cache, members_stay_known_while_hubs_change)
{
    member_cache cache;
    record_members(cache, members(19), start);
    record_members(cache, {{"vm-7", "m7"}}, start + 2s);
    EXPECT_EQ(recent_members(cache, start + 4s).size(), 19U);
    EXPECT_EQ(recent_members(cache, start + 6s), strings{"vm-7"});
}

// Guards against hubs whose links cannot carry the changes: a VM with a small link that became the
// hub of the fleet cut itself off by what it sent, although VMs with larger links were there.
TEST_F(hub_choice_test, members_with_larger_links_are_hubs_before_others)
{
    choice = {.own_address = "m0", .own_link_mbps = 10};
    std::vector<member> fleet = members(20);
    for (member& entry : fleet)
    {
        entry.link_mbps = 10;
    }
    fleet[7].link_mbps = 1000;
    fleet[13].link_mbps = 200;
    set_members(choice, fleet);
    EXPECT_EQ(connections_to_open(choice, start), (strings{"m7", "m13"}));
}

// Guards against rates that are granted twice: members that hear nothing of their hub change to
// another one, while the old one counts them until their connections close.
TEST(registry, silent_members_do_not_count_as_primary)
{
    registry hub{.self = {"vm-0", "m0"}, .started = start};
    on_hello(hub, {.self = {"vm-1", "m1"}, .incarnation = 1}, start);
    on_report(hub, "vm-1", {.primary = true}, start + 1s);
    EXPECT_EQ(count_primary_members(hub, start + 2s), 1U);
    EXPECT_EQ(count_primary_members(hub, start + 2300ms), 0U);
}

// Guards against a daemon behind a network partition that takes the members on its side for the
// whole fleet, and gives them all of every account's rate.
TEST(registry, the_largest_recent_size_counts_for_30_s)
{
    known_size size;
    EXPECT_EQ(largest_recent_size(size, 9, start), 9U);
    EXPECT_EQ(largest_recent_size(size, 5, start + 30s), 9U);
    EXPECT_EQ(largest_recent_size(size, 5, start + 31s), 5U);
    EXPECT_EQ(largest_recent_size(size, 7, start + 32s), 7U);
}

} // namespace
} // namespace zinniaferry::fleet
