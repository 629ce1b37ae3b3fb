#include "fleet/spread_model.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

config_spread make_spread()
{
    return make_config_spread(modelled_spread_options({"vm0", 1}), start);
}

std::uint64_t version_in_force_of(const modelled_process& process)
{
    const config_version* current = in_force(process.spread);
    return current == nullptr ? 0 : current->version;
}

// Guards R11 and the 5 s for a fleet of 18 in which one process reaches the service.
TEST(config_spread, version_reaches_all_when_one_process_reaches_the_service)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        spread_model model = make_spread_model({.processes = 18, .seed = seed});
        run_until(model, model.now + 10s);
        for (std::size_t i = 0; i < model.processes.size(); ++i)
        {
            model.processes[i].reaches_service = i == seed;
        }
        run_until(model, model.now + 10s);
        for (int version = 0; version < 4; ++version)
        {
            publish(model);
            EXPECT_TRUE(time_to_reach_all(model, model.version, 5s)) << "seed " << seed;
            run_until(model, model.now + 1300ms);
        }
    }
}

// Guards R11: a new VM that reads a stale reply and serves with a version that was replaced.
TEST(config_spread, booting_process_does_not_trust_a_stale_service)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        spread_model model = make_spread_model({.processes = 7, .seed = seed});
        run_until(model, model.now + 6s);
        publish(model);
        publish(model);
        ASSERT_TRUE(time_to_reach_all(model, 3, 5s));
        model.mode = service_mode::stale;
        restart(model, 3);
        const core::time_point booted = model.now;
        const modelled_process& process = model.processes[3];
        bool read_stale = false;
        while (!is_ready(process.spread, model.now) && model.now < booted + 10s)
        {
            run_until(model, model.now + 10ms);
            read_stale = read_stale || version_in_force_of(process) == 1;
        }
        EXPECT_TRUE(is_ready(process.spread, model.now));
        EXPECT_EQ(version_in_force_of(process), 3U) << "seed " << seed;
        EXPECT_TRUE(read_stale || process.spread.counters.refused > 0)
            << "the service's stale answer was not read";
    }
}

// Guards R4: a process that hears its peers and is not heard by them serves withdrawn keys, because
// it is not isolated and cannot pull the version.
TEST(config_spread, process_that_cannot_pull_a_version_is_behind)
{
    config_spread state = make_spread();
    core::random_generator random(1);
    core::time_point now = start;
    handle(state, {"vm1", 1}, heartbeat{.config_version = 2}, now);
    for (; now <= start + 2s; now += 10ms)
    {
        tick(state, now, random);
        EXPECT_FALSE(is_behind(state, now));
    }
    EXPECT_TRUE(is_behind(state, now));
    service_replied(state, "2\nx\n", now);
    tick(state, now, random);
    EXPECT_FALSE(is_behind(state, now));
}

// Guards R11 over random faults: the version in force of a process is never lowered.
TEST(config_spread, version_is_never_lowered)
{
    int restarts = 0;
    int stale = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        spread_model model =
            make_spread_model({.processes = 8, .seed = seed, .entries = 5, .loss = 0.1});
        core::random_generator random(seed);
        std::vector<std::uint64_t> highest(model.processes.size());
        for (int round = 0; round < 300; ++round)
        {
            const std::size_t index = core::uniform_index(random, model.processes.size());
            modelled_process& process = model.processes[index];
            switch (core::uniform_index(random, 8))
            {
            case 0:
            case 1:
                publish(model);
                break;
            case 2:
                model.mode = static_cast<service_mode>(core::uniform_index(random, 3));
                stale += model.mode == service_mode::stale ? 1 : 0;
                break;
            case 3:
                restart(model, index);
                highest[index] = 0;
                ++restarts;
                break;
            case 4:
                process.paused_until = model.now + 2s;
                break;
            case 5:
                process.group = process.group == 0 ? 1 : 0;
                break;
            case 6:
                process.reaches_service = !process.reaches_service;
                break;
            default:
                break;
            }
            run_until(model, model.now + 200ms);
            for (std::size_t i = 0; i < highest.size(); ++i)
            {
                const std::uint64_t version = version_in_force_of(model.processes[i]);
                ASSERT_GE(version, highest[i]) << "seed " << seed << " round " << round;
                highest[i] = version;
            }
        }
        for (modelled_process& process : model.processes)
        {
            process.group = 0;
            process.reaches_service = true;
        }
        model.mode = service_mode::up;
        EXPECT_TRUE(time_to_reach_all(model, model.version, 12s)) << "seed " << seed;
    }
    std::cout << "config_spread: restarts " << restarts << ", stale periods " << stale << '\n';
}

// Guards against a process that is ready before anyone answered, or before all had time to.
TEST(config_spread, boot_waits_for_answers)
{
    config_spread state = make_spread();
    apply_boot_list(state, {"vm0", "vm1", "vm2"}, start);
    EXPECT_FALSE(is_ready(state, start + 1h));
    service_replied(state, "4\nx\n", start + 1s);
    EXPECT_FALSE(is_ready(state, start + 3s));
    handle(state, {"vm1", 1}, heartbeat{.config_version = 4}, start + 1s);
    EXPECT_FALSE(is_ready(state, start + 1s));
    handle(state, {"vm2", 1}, heartbeat{.config_version = 5}, start + 1s);
    EXPECT_FALSE(is_ready(state, start + 1h)) << "a higher version was heard";
    service_replied(state, "5\nx\n", start + 2s);
    EXPECT_TRUE(is_ready(state, start + 2s)) << "all have answered";
}

// Guards against whole documents where a delta would do, and against deltas without a base.
TEST(config_spread, answers_with_a_delta_where_it_has_the_base)
{
    config_spread state = make_spread();
    const std::string filler(500, 'x');
    service_replied(state, "4\n" + filler + "\nold\n", start);
    service_replied(state, "5\n" + filler + "\nnew\n", start);
    const auto ask = [&](std::uint64_t version)
    {
        return std::get<config_reply>(
            handle(state, {"vm1", 1}, config_request{version}, start)[0].body);
    };
    EXPECT_EQ(ask(4).base_version, 4U);
    EXPECT_EQ(ask(4).body, "0 5\n2 new\n");
    EXPECT_EQ(ask(3).base_version, 0U);
    EXPECT_EQ(ask(0).body, state.current->text);
    EXPECT_TRUE(handle(state, {"vm1", 1}, config_request{5}, start).empty());

    config_spread asker = make_spread();
    service_replied(asker, "4\n" + filler + "\nold\n", start);
    handle(asker, {"vm1", 1}, ask(4), start);
    EXPECT_EQ(in_force(asker)->text, state.current->text);
    EXPECT_EQ(in_force(asker)->digest, state.current->digest);
}

// Guards against a process of the fleet that polls though another reaches the service, and one
// that does not when nobody does.
TEST(config_spread, others_poll_only_when_contact_is_old)
{
    core::random_generator random(1);
    config_spread state = make_spread();
    service_replied(state, "4\n", start);
    std::vector<std::string> alive;
    for (int i = 1; i < 20; ++i)
    {
        alive.push_back("vm" + std::to_string(i));
    }
    std::size_t watchers = 0;
    for (int i = 0; i < 20; ++i)
    {
        config_spread other =
            make_config_spread(modelled_spread_options({"vm" + std::to_string(i), 1}), start);
        std::vector<std::string> peers{"vm0"};
        peers.insert(peers.end(), alive.begin(), alive.end());
        std::erase(peers, "vm" + std::to_string(i));
        watchers += wants_watch(other, peers) ? 1 : 0;
    }
    EXPECT_EQ(watchers, 5U);
    state.options.watchers = 0;
    next_service_call(state, alive, 0s, start, random);
    service_unchanged(state, start);
    EXPECT_FALSE(next_service_call(state, alive, 3s, start + 10s, random));
    EXPECT_TRUE(next_service_call(state, alive, 3001ms, start + 10s, random));
    service_unchanged(state, start + 10s);
    EXPECT_FALSE(next_service_call(state, alive, 1h, start + 10700ms, random));
    EXPECT_TRUE(next_service_call(state, alive, 1h, start + 11300ms, random));
}

// Guards against calls in a tight loop to a service that answers each watch with an old version.
TEST(config_spread, stale_service_is_asked_less_often)
{
    spread_model model = make_spread_model({.processes = 2, .entries = 2});
    run_until(model, model.now + 6s);
    publish(model);
    ASSERT_TRUE(time_to_reach_all(model, 2, 5s));
    model.mode = service_mode::stale;
    model.service_calls = 0;
    run_until(model, model.now + 60s);
    EXPECT_LE(model.service_calls, 40U);
    EXPECT_GE(model.service_calls, 20U);
}

} // namespace
} // namespace zinniaferry::fleet
