#include "routing/candidates.hpp"

#include "core/random.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
constexpr load_at_send idle = {.occupancy = 0.25};
constexpr load_at_send last_slot = {.occupancy = 1.0};

core::duration scaled(core::duration value, double factor)
{
    return core::from_seconds(core::to_seconds(value) * factor);
}

struct learned
{
    work_time route;
    occupancy_effect effect;
};

// Responses of a service whose usual time is 100 ms and which takes `knee` times as long on the
// last slot; every fourth request takes the last slot.
learned learn(double knee, int responses)
{
    learned out;
    core::random_generator random{3};
    for (int i = 0; i < responses; ++i)
    {
        const load_at_send load = i % 4 == 0 ? last_slot : idle;
        const double spread = 0.8 + 0.4 * core::uniform(random);
        record_work(out.route, out.effect, load, scaled(100ms, spread * (i % 4 == 0 ? knee : 1.0)),
                    start + i * 10ms);
    }
    return out;
}

// Guards against sending work to a nearly full server whose usual time it knows only from others.
TEST(work_time, the_effect_of_the_last_slot_is_learned_apart_from_the_usual_time)
{
    const learned out = learn(2.5, 800);
    EXPECT_GT(out.route.usual, 85ms);
    EXPECT_LT(out.route.usual, 120ms);
    EXPECT_GT(occupancy_factor(out.effect, 1.0, start + 8s), 1.9);
    EXPECT_EQ(occupancy_factor(out.effect, 0.5, start + 8s), 1.0);
    EXPECT_LT(occupancy_factor(out.effect, 1.0, start + 120s), 1.02) << "it decays";
}

// Guards against a queue whose servers are slower than the wait in it explains, and against a wait
// that is taken for work.
TEST(work_time, work_after_a_queue_is_learned_without_the_wait)
{
    learned out = learn(1.0, 400);
    const load_at_send queued = {.occupancy = 1.5, .queue = 100ms};
    for (int i = 0; i < 200; ++i)
    {
        record_work(out.route, out.effect, idle, 100ms, start + 4s);
        record_work(out.route, out.effect, queued, 400ms, start + 4s);
    }
    const double factor = occupancy_factor(out.effect, 1.5, start + 4s);
    EXPECT_GT(factor, 2.4);
    EXPECT_LT(factor, 3.6);
    EXPECT_LT(occupancy_factor(out.effect, 1.0, start + 4s), 1.3)
        << "the last slot is another case";
}

// Guards against a wrong report or one broken response that keeps a server from getting anything.
TEST(work_time, factors_are_bounded)
{
    learned out = learn(1.0, 400);
    for (int i = 0; i < 400; ++i)
    {
        record_work(out.route, out.effect, last_slot, 1h, start + 4s);
    }
    EXPECT_LE(occupancy_factor(out.effect, 1.0, start + 4s), 4.0);
    EXPECT_EQ(load_factor({}, {.slowdown = 1e12}, start), max_believed_slowdown);
    EXPECT_EQ(load_factor({}, {.slowdown = 0.0}, start), 1.0);
    EXPECT_LE(out.route.margin, 3.0);
}

// Guards against a route whose timeout became shorter than most responses, of which only the fast
// ones are then seen.
TEST(work_time, requests_that_were_ended_raise_the_usual_time)
{
    learned out = learn(1.0, 400);
    const core::duration before = out.route.usual;
    record_unfinished_work(out.route, out.effect, idle, 50ms, start);
    EXPECT_EQ(out.route.usual, before) << "ended early, which says nothing";
    for (int i = 0; i < 100; ++i)
    {
        record_unfinished_work(out.route, out.effect, idle, 400ms, start);
    }
    EXPECT_GT(scaled(out.route.usual, out.route.margin), 390ms) << "the time that most need";
}

struct run_limit_test : testing::Test
{
    run_limit_test()
    {
        set.options.own_name = "vm-1";
        set.service_states["orders"] = {.latency = 100ms};
        for (const char* id : {"a", "b"})
        {
            apply_listing(set, {.id = id, .service = "orders", .address = id, .slots = 8}, start);
        }
    }

    backend& server(const std::string& id) { return *set.by_id.at(id); }

    void report(const std::string& id, const load_reading& reading)
    {
        on_load_reading(server(id), reading, {});
    }

    backend_set set;
    run_limit limit{.left = 300ms, .whole = 300ms, .work = {.usual = 100ms, .margin = 1.5}};
};

// Replays the load pattern: a configuration shortens the timeout while servers are slow, full or
// slowed by others on their machine. Guards against starting work that would outlive it.
TEST_F(run_limit_test, work_that_would_outlive_its_limit_is_kept_from_a_server)
{
    report("a", {.running = 1, .slots = 8, .slowdown = 2.5, .received_at = start});
    report("b", {.running = 1, .slots = 8, .received_at = start});
    EXPECT_TRUE(would_outlive(set, server("a"), limit, start));
    EXPECT_FALSE(would_outlive(set, server("b"), limit, start));
    server("b").slowness = 3.0;
    server("b").slowness_updated_at = start;
    EXPECT_TRUE(would_outlive(set, server("b"), limit, start));
    EXPECT_FALSE(would_outlive(set, server("b"), limit, start + 30s)) << "slowness decays";
    limit.left = limit.whole = 1s;
    EXPECT_FALSE(would_outlive(set, server("a"), limit, start)) << "the longer timeout";
}

// Guards against a queue that lets the request start too late.
TEST_F(run_limit_test, the_queue_and_the_occupancy_count)
{
    report("a", {.running = 8, .waiting = 7, .slots = 8, .received_at = start});
    EXPECT_EQ(expected_time(set, server("a"), 100ms, start).queue, 100ms);
    EXPECT_EQ(expected_time(set, server("a"), 100ms, start).work, 100ms);
    limit.left = 290ms;
    EXPECT_TRUE(would_outlive(set, server("a"), limit, start));
    report("b", {.running = 7, .slots = 8, .received_at = start});
    EXPECT_FALSE(would_outlive(set, server("b"), limit, start));
    set.service_states["orders"].occupancy.bands.at(1) = {.factor = 2.2, .updated_at = start};
    EXPECT_TRUE(would_outlive(set, server("b"), limit, start));
}

// Guards against a stale report: it neither excludes a server nor clears one.
TEST_F(run_limit_test, a_stale_report_is_replaced_by_the_usual_slowdown)
{
    report("a", {.running = 8, .waiting = 8, .slots = 8, .slowdown = 9.0, .received_at = start});
    EXPECT_FALSE(would_outlive(set, server("a"), limit, start + 1s));
    for (int i = 0; i < 200; ++i)
    {
        record_slowdown(set, server("a"), {.slots = 8, .slowdown = 2.5});
    }
    limit.left = 200ms;
    EXPECT_TRUE(would_outlive(set, server("a"), limit, start + 1s));
}

// Guards against a server that reports an idle state while its responses take long.
TEST_F(run_limit_test, the_latency_outweighs_a_wrong_report)
{
    for (int i = 0; i < 20; ++i)
    {
        on_sent(server("a"));
        on_response(set, server("a"), 400ms, 100ms, start);
    }
    report("a", {.running = 0, .slots = 8, .received_at = start});
    EXPECT_TRUE(would_outlive(set, server("a"), limit, start));
}

// Guards against a slow server that is never found because no request responds before its limit.
TEST_F(run_limit_test, requests_that_were_ended_show_a_slow_server)
{
    for (int i = 0; i < 3; ++i)
    {
        on_unfinished(server("a"), 300ms, 100ms, start);
    }
    const double found = slowness(server("a"), start);
    EXPECT_GT(found, 2.0);
    on_unfinished(server("a"), 50ms, 100ms, start);
    EXPECT_EQ(slowness(server("a"), start), found) << "ended early, which says nothing";
    EXPECT_TRUE(would_outlive(set, server("a"), limit, start));
}

// Guards against a route that is served nowhere because its usual time is near its timeout, or
// because an estimate is too high and nothing is sent that would correct it.
TEST_F(run_limit_test, a_tight_route_is_still_served_by_servers_of_usual_speed)
{
    limit = {.left = 95ms, .whole = 100ms, .work = {.usual = 500ms, .margin = 2.0}};
    report("a", {.slots = 8, .received_at = start});
    report("b", {.slots = 8, .slowdown = 1.5, .received_at = start});
    EXPECT_FALSE(would_outlive(set, server("a"), limit, start));
    EXPECT_TRUE(would_outlive(set, server("b"), limit, start));
    EXPECT_TRUE(may_fit(set, "orders", limit));
    limit.left = 60ms;
    EXPECT_FALSE(may_fit(set, "orders", limit)) << "most of its time has passed";
    limit.work.usual = {};
    EXPECT_FALSE(would_outlive(set, server("a"), limit, start)) << "nothing is known yet";
}

// Guards against servers that all report a slowdown at all times, which then is the usual state.
TEST_F(run_limit_test, a_slowdown_that_all_servers_report_always_excludes_none)
{
    limit = {.left = 95ms, .whole = 100ms, .work = {.usual = 60ms, .margin = 1.5}};
    const load_reading slow = {.slots = 8, .slowdown = 2.0, .received_at = start};
    report("a", slow);
    EXPECT_TRUE(would_outlive(set, server("a"), limit, start));
    for (int i = 0; i < 200; ++i)
    {
        record_slowdown(set, server("a"), slow);
    }
    EXPECT_FALSE(would_outlive(set, server("a"), limit, start));
}

} // namespace
} // namespace zinniaferry::routing
