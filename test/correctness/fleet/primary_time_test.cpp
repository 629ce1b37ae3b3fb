#include "fleet/primary_statement.hpp"
#include "fleet/registry.hpp"
#include "limits/account_pools.hpp"

#include <gtest/gtest.h>

#include <array>
#include <deque>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
constexpr limits::rate_tolerance tolerance = {.overage = 0.25, .slack = 20.0, .window = 5s};
constexpr core::duration report_interval = 400ms;
constexpr core::duration step = 1ms;

struct simulated_daemon
{
    fleet::registry registry;
    limits::account_pools pools;
    std::size_t hub = 0; ///< Index of its primary hub.
    core::time_point report_at;
    std::array<primary_statement, 2> statements; ///< By hub.
};

/// A message that the network delivers when the partition ends.
struct delayed_message
{
    std::size_t from = 0;
    std::size_t hub = 0;
    std::variant<report_message, ask_message> content;
};

struct partition_case
{
    std::size_t size = 0;
    double rate = 0.0;               ///< Of the account; also its burst.
    core::duration storm_to_cut{};   ///< From the begin of the load to the partition.
    core::duration cut_to_switch{};  ///< Until the others use the second hub.
    core::duration cut_time{};       ///< How long the first daemon is cut off.
    double first_daemons_part = 0.4; ///< Of the load.
};

/// A fleet whose hub, the first daemon, is cut off from all others. Their hub is then the second.
struct partitioned_fleet
{
    explicit partitioned_fleet(const partition_case& parameters)
        : options(parameters), daemons(parameters.size)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i)
        {
            simulated_daemon& daemon = daemons[i];
            daemon.registry.self.vm = "vm-" + std::to_string(i);
            daemon.pools.tolerance = tolerance;
            limits::apply_configuration(
                daemon.pools,
                {.version = 1,
                 .accounts = {{.name = "a", .rate = options.rate, .burst = options.rate}}},
                start);
            limits::set_standalone(daemon.pools, false, start);
            daemon.report_at =
                start + report_interval * static_cast<int>(i) / static_cast<int>(daemons.size());
            for (const std::size_t hub : {0U, 1U})
            {
                on_hello(daemons[hub].registry,
                         {.self = {.vm = daemon.registry.self.vm}, .incarnation = 1}, start);
            }
        }
        set_own_primary(daemons[0].registry, true, start);
    }

    bool is_cut(std::size_t a, std::size_t b, core::time_point now) const
    {
        return a != b && (a == 0 || b == 0) && now >= cut_at && now < cut_at + options.cut_time;
    }

    void deliver(const delayed_message& message, core::time_point now)
    {
        fleet::registry& registry = daemons[message.hub].registry;
        const std::string& vm = daemons[message.from].registry.self.vm;
        if (const auto* report = std::get_if<report_message>(&message.content))
        {
            on_report(registry, vm, *report, now);
        }
        else
        {
            on_grant_request(registry, vm, std::get<ask_message>(message.content), now);
        }
    }

    void send_message(const delayed_message& message, core::time_point now)
    {
        if (is_cut(message.from, message.hub, now))
        {
            delayed.push_back(message);
        }
        else
        {
            deliver(message, now);
        }
    }

    core::duration state_time(std::size_t from, std::size_t hub, core::time_point now)
    {
        simulated_daemon& daemon = daemons[from];
        return state_primary_time(daemon.statements[hub], daemon.hub == hub, now);
    }

    void report(std::size_t from, core::time_point now)
    {
        for (const std::size_t hub : {0U, 1U})
        {
            if (hub != from)
            {
                const report_message message = {.primary = daemons[from].hub == hub,
                                                .primary_time = state_time(from, hub, now)};
                send_message({from, hub, message}, now);
            }
        }
        daemons[from].report_at = now + report_interval;
    }

    void use_hub(std::size_t hub, core::time_point now)
    {
        for (std::size_t i = 1; i < daemons.size(); ++i)
        {
            daemons[i].hub = hub;
            set_own_primary(daemons[i].registry, i == hub, now);
            report(i, now);
        }
    }

    void update_pools(simulated_daemon& daemon, core::time_point now)
    {
        limits::advance_pool_clock(daemon.pools, take_primary_time(daemon.registry, now));
        limits::set_fleet_size(daemon.pools,
                               {.primary_members = count_primary_members(daemon.registry, now) +
                                                   (daemon.registry.own_primary ? 1U : 0U),
                                .members_known = daemons.size(),
                                .is_size_known = true},
                               now);
    }

    void advance(core::time_point now)
    {
        if (now == cut_at + options.cut_time)
        {
            for (const delayed_message& message : delayed)
            {
                deliver(message, now);
            }
            delayed.clear();
        }
        if (now == cut_at + options.cut_to_switch)
        {
            use_hub(1, now);
        }
        if (now == cut_at + options.cut_time + 100ms)
        {
            use_hub(0, now);
        }
        for (std::size_t i = 0; i < daemons.size(); ++i)
        {
            if (now >= daemons[i].report_at)
            {
                report(i, now);
                update_pools(daemons[i], now);
            }
        }
    }

    bool send(std::size_t from, core::time_point now)
    {
        simulated_daemon& daemon = daemons[from];
        if (limits::take_granted(daemon.pools, "a", now))
        {
            return true;
        }
        if (from != daemon.hub)
        {
            const ask_message ask = {.primary_time = state_time(from, daemon.hub, now)};
            send_message({from, daemon.hub, ask}, now);
        }
        if (is_cut(from, daemon.hub, now))
        {
            return limits::take_standalone(daemon.pools, "a", now).requests > 0;
        }
        simulated_daemon& hub = daemons[daemon.hub];
        limits::advance_pool_clock(hub.pools, take_primary_time(hub.registry, now));
        const limits::grant taken = limits::take_from_pool(hub.pools, "a");
        if (taken.requests > 1)
        {
            limits::add_granted(daemon.pools, "a", taken.requests - 1, now, now);
        }
        return taken.requests > 0;
    }

    partition_case options;
    std::vector<simulated_daemon> daemons;
    std::vector<delayed_message> delayed;
    core::time_point cut_at = start + 8s + options.storm_to_cut;
};

/// Returns the most requests that were admitted in a window while the account sends 7.5 times its
/// rate from 8 s on.
std::size_t window_peak(const partition_case& options)
{
    partitioned_fleet fleet(options);
    core::random_generator random(7);
    std::deque<core::time_point> admitted;
    std::size_t peak = 0;
    for (core::time_point now = start; now < start + 26s; now += step)
    {
        fleet.advance(now);
        double due = now < start + 8s ? 0.0 : options.rate * 7.5 * core::to_seconds(step);
        for (; core::uniform(random) < due; due -= 1.0)
        {
            const bool at_first = core::uniform(random) < options.first_daemons_part;
            const std::size_t from =
                at_first ? 0 : 1 + core::uniform_index(random, options.size - 1);
            if (fleet.send(from, now))
            {
                admitted.push_back(now);
            }
            while (!admitted.empty() && now - admitted.front() >= tolerance.window)
            {
                admitted.pop_front();
            }
            peak = std::max(peak, admitted.size());
        }
    }
    return peak;
}

// Guards against a hub that is cut off and goes on granting the rate of the whole fleet until it
// notices, while the others already use another hub: 487 to 497 requests ran in 5 s where the rules
// allow 470.
TEST(primary_time, a_hub_that_is_cut_off_does_not_grant_what_another_hub_grants)
{
    for (const std::size_t size : {2U, 4U, 9U, 40U})
    {
        for (const double rate : {12.0, 60.0, 300.0})
        {
            const double bound = rate * 6.0 * (1.0 + tolerance.overage) + tolerance.slack;
            for (const core::duration storm_to_cut : {0ms, 700ms, 2000ms})
            {
                for (const core::duration cut_to_switch : {100ms, 1300ms})
                {
                    for (const core::duration cut_time : {400ms, 700ms, 790ms, 1500ms, 6000ms})
                    {
                        const partition_case options = {.size = size,
                                                        .rate = rate,
                                                        .storm_to_cut = storm_to_cut,
                                                        .cut_to_switch = cut_to_switch,
                                                        .cut_time = cut_time};
                        EXPECT_LE(static_cast<double>(window_peak(options)), bound)
                            << size << " daemons, rate " << rate << ", cut "
                            << core::to_seconds(storm_to_cut) << " s after the load began, for "
                            << core::to_seconds(cut_time) << " s, switch after "
                            << core::to_seconds(cut_to_switch) << " s";
                    }
                }
            }
        }
    }
}

// Guards against pools that fill too slowly because a member's time counts only when it is heard of
// again.
TEST(primary_time, the_time_of_all_members_counts_while_they_report)
{
    registry hub{.self = {.vm = "vm-0"}, .started = start};
    set_own_primary(hub, true, start);
    on_hello(hub, {.self = {.vm = "vm-1"}, .incarnation = 1}, start);
    on_report(hub, "vm-1", {.primary = true}, start);
    core::duration total{};
    for (core::duration time = 0s; time <= 10s; time += 500ms)
    {
        on_report(hub, "vm-1", {.primary = true}, start + time);
        total += take_primary_time(hub, start + time);
    }
    EXPECT_EQ(total, 20s);
}

// Guards against time that counts at two hubs: that of a member between two reports which may have
// used another hub in between, and that of one which has named another hub.
TEST(primary_time, the_time_of_a_member_that_may_have_used_another_hub_does_not_count)
{
    registry hub{.self = {.vm = "vm-0"}, .started = start};
    on_hello(hub, {.self = {.vm = "vm-1"}, .incarnation = 1}, start);
    on_report(hub, "vm-1", {.primary = true}, start);
    on_report(hub, "vm-1", {.primary = true}, start + 6s);
    EXPECT_EQ(take_primary_time(hub, start + 6s), 0s) << "it was silent";
    on_report(hub, "vm-1", {.primary = false}, start + 6400ms);
    on_report(hub, "vm-1", {.primary = true}, start + 6800ms);
    EXPECT_EQ(take_primary_time(hub, start + 6800ms), 0s) << "it named another hub";
    on_grant_request(hub, "vm-1", {}, start + 7s);
    EXPECT_EQ(take_primary_time(hub, start + 7s), 200ms);
    on_unsubscribed(hub, "vm-1", 1, start + 7100ms);
    EXPECT_EQ(take_primary_time(hub, start + 8s), 0s);
}

// Guards against time that counts at two hubs although the silence was short: the messages of a
// member arrive at once after 0.7 s, and it has used another hub since the first of them.
TEST(primary_time, only_the_time_that_a_member_states_counts)
{
    registry hub{.self = {.vm = "vm-0"}, .started = start};
    on_hello(hub, {.self = {.vm = "vm-1"}, .incarnation = 1}, start);
    on_report(hub, "vm-1", {.primary = true, .primary_time = 0ms}, start);
    on_report(hub, "vm-1", {.primary = true, .primary_time = 100ms}, start + 700ms);
    on_report(hub, "vm-1", {.primary = false, .primary_time = 50ms}, start + 700ms);
    EXPECT_EQ(take_primary_time(hub, start + 700ms), 150ms);
    on_report(hub, "vm-1", {.primary = true, .primary_time = 0ms}, start + 1s);
    EXPECT_EQ(take_primary_time(hub, start + 1s), 0s);
}

// Guards against pools that fill too slowly because messages are delayed differently on their way.
TEST(primary_time, stated_time_counts_although_messages_come_unevenly)
{
    registry hub{.self = {.vm = "vm-0"}, .started = start};
    on_hello(hub, {.self = {.vm = "vm-1"}, .incarnation = 1}, start);
    on_report(hub, "vm-1", {.primary = true, .primary_time = 0ms}, start);
    core::duration total{};
    for (int i = 1; i <= 100; ++i)
    {
        const core::duration delay = i % 2 == 0 ? 300ms : 0ms;
        on_report(hub, "vm-1", {.primary = true, .primary_time = 400ms}, start + 400ms * i + delay);
        total += take_primary_time(hub, start + 400ms * i + delay);
    }
    EXPECT_GE(total, 39'600ms);
    EXPECT_LE(total, 40'000ms);
}

// Guards against a subscriber that states the same time twice, or to two hubs.
TEST(primary_time, time_is_stated_once)
{
    primary_statement first;
    primary_statement second;
    EXPECT_EQ(state_primary_time(first, true, start), 0s);
    EXPECT_EQ(state_primary_time(first, true, start + 400ms), 400ms);
    EXPECT_EQ(state_primary_time(first, false, start + 500ms), 100ms);
    EXPECT_EQ(state_primary_time(second, true, start + 500ms), 0s);
    EXPECT_EQ(state_primary_time(first, false, start + 900ms), 0s);
    EXPECT_EQ(state_primary_time(second, true, start + 900ms), 400ms);
}

} // namespace
} // namespace zinniaferry::fleet
