#include "fleet/service_loads.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

/// A hub with the subscribers vm-0, vm-1 and so on.
registry make_hub(int subscribers)
{
    registry hub{.self = {"hub", "10.0.0.1:7"}, .started = start};
    for (int i = 0; i < subscribers; ++i)
    {
        on_hello(hub, {.self = {"vm-" + std::to_string(i), ""}, .incarnation = 1}, start);
    }
    return hub;
}

void report(registry& hub, const std::string& vm, std::vector<stated_load> loads,
            core::time_point now)
{
    on_report(hub, vm, {.primary = true, .loads = std::move(loads)}, now);
}

double running(const load_sums& sums, const std::string& service)
{
    const auto found = sums.sums.by_service.find(service);
    return found == sums.sums.by_service.end() ? 0.0 : found->second.running;
}

// Guards against a burst that no daemon sees: each of 30 sends five requests to a service, and only
// the sum shows that 150 run.
TEST(service_loads, a_hub_adds_up_its_own_load_and_those_of_its_subscribers)
{
    registry hub = make_hub(30);
    hub.own_loads = {{"orders", {.running = 2.0}}};
    for (int i = 0; i < 30; ++i)
    {
        report(hub, "vm-" + std::to_string(i), {{"sheets", {.running = 5.0}}}, start);
    }
    load_sums sums;
    update_sums(sums, hub, start + 400ms);
    EXPECT_EQ(running(sums, "sheets"), 150.0);
    EXPECT_EQ(running(sums, "orders"), 2.0);
    const auto sent = sums_for(sums, hub.members.at("vm-0").loads);
    const auto received = make_fleet_load(sent, start + 390ms);
    EXPECT_EQ(received.by_service, sums.sums.by_service);
    EXPECT_EQ(received.as_of, start + 390ms);
}

// Guards against the load of a daemon that died, left or was cut off, and counts on.
TEST(service_loads, the_load_of_a_member_that_is_gone_ends)
{
    registry hub = make_hub(3);
    for (const char* vm : {"vm-0", "vm-1", "vm-2"})
    {
        report(hub, vm, {{"sheets", {.running = 1.0}}}, start);
    }
    on_unsubscribed(hub, "vm-0", 1, start + 100ms);
    report(hub, "vm-1", {{"sheets", {.running = 1.0}}}, start + 1s);
    load_sums sums;
    update_sums(sums, hub, start + 1100ms);
    EXPECT_EQ(running(sums, "sheets"), 2.0) << "vm-2 may only be late";
    update_sums(sums, hub, start + 1300ms);
    EXPECT_EQ(running(sums, "sheets"), 1.0);
    report(hub, "vm-1", {}, start + 1350ms);
    update_sums(sums, hub, start + 1500ms);
    EXPECT_EQ(running(sums, "sheets"), 0.0) << "it states no load any more";
}

// Guards against messages that grow with the number of services, and against a daemon that gets the
// sums of others' services but not of its own.
TEST(service_loads, a_subscriber_gets_its_own_services_and_the_busiest_others)
{
    registry hub = make_hub(1);
    for (int i = 0; i < 100; ++i)
    {
        hub.own_loads.push_back({"s" + std::to_string(i), {.running = i + 1.0}});
    }
    report(hub, "vm-0", {{"s0", {.running = 1.0}}, {"other", {.running = 1.0}}}, start);
    load_sums sums;
    update_sums(sums, hub, start);
    const auto sent = sums_for(sums, hub.members.at("vm-0").loads);
    ASSERT_EQ(sent.size(), max_stated_loads);
    EXPECT_EQ(sent[0], (stated_load{"s0", {.running = 2.0}}));
    EXPECT_EQ(sent[1], (stated_load{"other", {.running = 1.0}}));
    EXPECT_EQ(sent[2], (stated_load{"s99", {.running = 100.0}}));
}

// Guards against reports that state every service ever used, or leave out one whose requests wait.
TEST(service_loads, a_daemon_states_the_services_that_it_used_lately)
{
    std::unordered_map<std::string, admission::load_meter> meters;
    for (int i = 0; i < 100; ++i)
    {
        admission::on_arrival(meters["s" + std::to_string(i)], 0, start);
    }
    admission::on_wait_began(meters["waits"]);
    const auto stated = loads_to_state(meters, start + 1s);
    ASSERT_EQ(stated.size(), max_stated_loads);
    EXPECT_EQ(stated[0].service, "waits");
    EXPECT_EQ(loads_to_state(meters, start + 10s).size(), 1U);
}

} // namespace
} // namespace zinniaferry::fleet
