#include "routing/admission_queue.hpp"
#include "routing/probe_budget.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::routing
{
namespace
{

using namespace std::chrono_literals;
using config::request_class;

constexpr core::time_point start{1s};

queued_request make(std::uint64_t id, request_class priority, core::duration left = 1s)
{
    return {.id = id, .priority = priority, .deadline = start + left};
}

// Guards against orders that wait behind browsing and deadlines taken out of order.
TEST(admission_queue, takes_orders_first_and_then_the_earliest_deadline)
{
    admission_queue queue = make_admission_queue({});
    enqueue(queue, make(1, request_class::browse, 100ms), start);
    enqueue(queue, make(2, request_class::lookup, 300ms), start);
    enqueue(queue, make(3, request_class::lookup, 200ms), start);
    enqueue(queue, make(4, request_class::order, 900ms), start);
    for (const std::uint64_t id : {4U, 3U, 2U, 1U})
    {
        EXPECT_EQ(dequeue(queue, start)->id, id);
    }
    EXPECT_FALSE(dequeue(queue, start).has_value());
}

// Guards against orders shed while something less important waits.
TEST(admission_queue, sheds_browsing_then_lookups_then_orders)
{
    admission_queue queue = make_admission_queue({.capacity = 2});
    enqueue(queue, make(1, request_class::browse), start);
    enqueue(queue, make(2, request_class::lookup), start);
    EXPECT_EQ(enqueue(queue, make(3, request_class::order), start).at(0).id, 1U);
    EXPECT_EQ(enqueue(queue, make(4, request_class::browse), start).at(0).id, 4U);
    EXPECT_EQ(enqueue(queue, make(5, request_class::order), start).at(0).id, 2U);
    EXPECT_EQ(enqueue(queue, make(6, request_class::order, 2s), start).at(0).id, 6U);
    EXPECT_EQ(waiting_count(queue), 2U);
    EXPECT_TRUE(remove(queue, make(3, request_class::order)));
    EXPECT_FALSE(remove(queue, make(3, request_class::order)));
}

// Guards against work for callers whose deadline cannot be met, and against a queue that stops
// for good because its latency estimate is out of date.
TEST(admission_queue, expires_what_cannot_be_answered_in_time)
{
    admission_queue queue = make_admission_queue({});
    queue.latency = 50ms;
    queue.in_flight = 1;
    enqueue(queue, make(1, request_class::order, 40ms), start);
    EXPECT_FALSE(dequeue(queue, start).has_value());
    EXPECT_EQ(take_expired(queue, start).at(0).id, 1U);
    queue.in_flight = 0;
    enqueue(queue, make(2, request_class::order, 40ms), start);
    EXPECT_TRUE(take_expired(queue, start).empty());
    EXPECT_EQ(dequeue(queue, start)->id, 2U);
}

// Guards against a limit that does not follow the latency, or that starves a process.
TEST(admission_queue, limit_falls_with_latency_but_not_below_the_fair_share)
{
    admission_queue queue = make_admission_queue({});
    set_fair_share(queue, 48, 20);
    core::time_point now = start;
    const auto finish_many = [&](core::duration latency)
    {
        for (int i = 0; i < 500; ++i)
        {
            now += latency;
            queue.in_flight = static_cast<std::uint32_t>(queue.limit);
            on_finished(queue, finish::answered, latency, now);
        }
    };
    finish_many(10ms);
    const double high = queue.limit;
    EXPECT_GT(high, 8.0);
    finish_many(30ms);
    EXPECT_NEAR(queue.limit, 3.6, 1e-9);
}

// Guards against probes that cost more than their part of a server's slot time.
TEST(probe_budget, never_spends_more_than_it_earned)
{
    config::configuration config;
    config.max_vms = 4;
    config.services.push_back({.name = "s", .slots = 2, .servers = {{.name = "a"}}});
    probe_budget budget = make_probe_budget({});
    apply_configuration(budget, config, start);
    EXPECT_FALSE(try_start_probe(budget, "a", start));
    int probes = 0;
    for (core::time_point now = start; now < start + 60s; now += 10ms)
    {
        if (try_start_probe(budget, "a", now))
        {
            ++probes;
            on_probe_finished(budget, "a", probes % 2 == 0 ? 12ms : 2ms, now);
        }
        ASSERT_LE(totals(budget, now).spent, totals(budget, now).earned);
    }
    // 60 s earn 300 ms; the probes take 9 ms on average, and the last reservation is not spent.
    EXPECT_GE(probes, 30);
    EXPECT_LE(probes, 33);
    EXPECT_FALSE(try_start_probe(budget, "unknown", start + 60s));
}

} // namespace
} // namespace zinniaferry::routing
