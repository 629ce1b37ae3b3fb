#include "routing/candidates.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

listed_backend listing(const std::string& id, const std::string& data_centre = "dc-1")
{
    return {.id = id,
            .service = "orders",
            .address = "10.0.0.1:80",
            .data_centre = data_centre,
            .slots = 2,
            .incarnation = 1};
}

struct backends_test : testing::Test
{
    backends_test()
    {
        set.options.own_name = "vm-1";
        set.options.data_centre = "dc-1";
        set.members = {"vm-1"};
        set.service_states["orders"] = {.latency = 100ms, .warmup_rate = 2.0, .warmup = 3s};
    }

    std::vector<std::string> candidate_ids(core::time_point now, std::size_t count = 10,
                                           std::span<const backend_pointer> excluded = {})
    {
        std::vector<std::string> out;
        for (const backend_pointer& server :
             select_candidates(set, "orders", excluded, count, now, random))
        {
            out.push_back(server->listed.id);
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    backend& server(const std::string& id) { return *set.by_id.at(id); }

    backend_set set;
    core::random_generator random{7};
};

using strings = std::vector<std::string>;

// Guards against requests to servers that are draining, removed or in a data centre out of service.
TEST_F(backends_test, only_listed_servers_in_service_are_candidates)
{
    apply_listing(set, listing("a"), start);
    apply_listing(set, listing("b"), start);
    apply_listing(set, listing("c", "dc-2"), start);
    EXPECT_EQ(candidate_ids(start), (strings{"a", "b", "c"}));
    listed_backend draining_listing = listing("a");
    draining_listing.draining = true;
    apply_listing(set, draining_listing, start);
    EXPECT_EQ(candidate_ids(start), (strings{"b", "c"}));
    set_data_centres_out_of_service(set, {"dc-2"}, start);
    EXPECT_EQ(candidate_ids(start), (strings{"b"}));
    const backend_pointer removed = set.by_id.at("b");
    remove_listing(set, "b");
    EXPECT_EQ(candidate_ids(start), strings());
    EXPECT_FALSE(is_eligible(set, *removed, start));
}

// Guards against judging a restarted server by the observations of its previous process, which had
// the same id.
TEST_F(backends_test, a_new_incarnation_starts_without_observations)
{
    apply_listing(set, listing("a"), start);
    on_sent(server("a"));
    on_failed(server("a"), failure_kind::unreachable, start);
    EXPECT_EQ(server("a").state, backend_state::suspect);
    const backend_pointer previous = set.by_id.at("a");
    listed_backend restarted = listing("a");
    restarted.incarnation = 2;
    restarted.warmup_left = 3s;
    apply_listing(set, restarted, start);
    EXPECT_EQ(server("a").state, backend_state::cold);
    EXPECT_EQ(previous->state, backend_state::gone);
    EXPECT_EQ(server("a").error_rate, 0.0);
}

// Guards against more requests to a cold server than it tolerates when views of the fleet differ:
// two sets of senders are then active in the same second.
TEST_F(backends_test, two_views_of_the_fleet_stay_below_the_rate_a_cold_server_tolerates)
{
    set.options.cold_slack = 5.0;
    set.options.cold_overage = 1.5;
    listed_backend cold = listing("a");
    cold.warmup_left = 3s;
    strings members;
    for (int i = 0; i < 40; ++i)
    {
        members.push_back("vm-" + std::to_string(i));
    }
    double peak = 0.0;
    std::vector<int> sent_in_second(3, 0);
    // Each member sees only the first twenty or only the last twenty members.
    for (int i = 0; i < 40; ++i)
    {
        backend_set own = set;
        own.by_id.clear();
        own.by_service.clear();
        own.options.own_name = members[i];
        own.members = i < 20 ? strings(members.begin(), members.begin() + 20)
                             : strings(members.begin() + 20, members.end());
        apply_listing(own, cold, start);
        for (int ms = 0; ms < 2900; ms += 10)
        {
            const auto found = select_candidates(own, "orders", {}, 1,
                                                 start + std::chrono::milliseconds(ms), random);
            sent_in_second[ms / 1000] += static_cast<int>(found.size());
        }
    }
    for (const int sent : sent_in_second)
    {
        peak = std::max<double>(peak, sent);
    }
    EXPECT_LE(peak, 2.0 * 1.5 + 5.0);
    EXPECT_GT(peak, 0.0);
}

// Guards against a fleet that has just started: daemons that know no other member would all take
// themselves for a sender to the same cold server.
TEST_F(backends_test, a_daemon_that_does_not_know_the_fleet_sends_nothing_to_cold_servers)
{
    listed_backend cold = listing("a");
    cold.warmup_left = 30s;
    apply_listing(set, cold, start);
    set.are_members_known = false;
    EXPECT_TRUE(candidate_ids(start + 5s).empty());
    set.are_members_known = true;
    EXPECT_EQ(candidate_ids(start + 5s), strings{"a"});
}

// Guards against servers that stay cold, with a limited rate, after their warm-up.
TEST_F(backends_test, a_cold_server_serves_after_its_warmup)
{
    listed_backend cold = listing("a");
    cold.warmup_left = 3s;
    apply_listing(set, cold, start);
    set.members = {"x", "y", "z", "vm-1"};
    candidate_ids(start + 4s);
    EXPECT_EQ(server("a").state, backend_state::serving);
}

// Guards against full load on cold servers when their data centre returns to service.
TEST_F(backends_test, servers_of_a_returning_data_centre_are_cold)
{
    apply_listing(set, listing("c", "dc-2"), start);
    set_data_centres_out_of_service(set, {"dc-2"}, start);
    set_data_centres_out_of_service(set, {}, start + 5s);
    EXPECT_EQ(server("c").state, backend_state::cold);
}

// Guards against losing a whole service when most of its servers become suspect.
TEST_F(backends_test, suspicion_of_most_servers_ejects_none)
{
    for (const char* id : {"a", "b", "c"})
    {
        apply_listing(set, listing(id), start);
    }
    on_failed(server("a"), failure_kind::unreachable, start);
    EXPECT_EQ(candidate_ids(start), (strings{"b", "c"}));
    on_failed(server("b"), failure_kind::unreachable, start);
    EXPECT_EQ(candidate_ids(start), (strings{"a", "b", "c"}));
}

// Guards against a suspect server that is probed too often, and one that is never probed again.
TEST_F(backends_test, suspect_servers_are_probed_at_growing_delays_until_a_probe_passes)
{
    apply_listing(set, listing("a"), start);
    apply_listing(set, listing("b"), start);
    apply_listing(set, listing("c"), start);
    on_failed(server("a"), failure_kind::unreachable, start);
    EXPECT_TRUE(take_due_probes(set, start + 400ms).empty());
    EXPECT_EQ(take_due_probes(set, start + 500ms).size(), 1U);
    on_trial_passed(server("a"));
    EXPECT_EQ(server("a").state, backend_state::serving);
    on_failed(server("a"), failure_kind::unreachable, start + 1s);
    EXPECT_TRUE(take_due_probes(set, start + 1900ms).empty());
    EXPECT_EQ(take_due_probes(set, start + 2s).size(), 1U);
}

// Guards against treating a full server as failed: it answers load probes only when a slot is free.
// A server that leaves several probes in a row unanswered must become suspect all the same.
TEST_F(backends_test, a_server_that_answers_load_probes_late_is_skipped_and_not_suspect)
{
    apply_listing(set, listing("a"), start);
    apply_listing(set, listing("b"), start);
    on_load_probe_sent(server("a"), start);
    EXPECT_EQ(candidate_ids(start + 10ms), (strings{"a", "b"}));
    EXPECT_EQ(candidate_ids(start + 50ms), (strings{"b"}));
    on_load_reading(server("a"), {.running = 2, .slots = 2, .received_at = start + 200ms}, {});
    EXPECT_EQ(candidate_ids(start + 200ms), (strings{"a", "b"}));
    for (int i = 0; i < 3; ++i)
    {
        on_load_probe_unanswered(server("a"), start + 1s);
        EXPECT_EQ(server("a").state, backend_state::serving);
    }
    EXPECT_EQ(candidate_ids(start + 1s), (strings{"b"}));
    EXPECT_EQ(candidate_ids(start + 1200ms), (strings{"a", "b"}));
    on_load_probe_unanswered(server("a"), start + 2s);
    EXPECT_EQ(server("a").state, backend_state::suspect);
}

// Guards against ranking a full or slowed-down server before an idle one, and against trusting a
// load reading that is out of date.
TEST_F(backends_test, recent_load_readings_determine_the_cost_and_old_ones_do_not)
{
    apply_listing(set, listing("a"), start);
    apply_listing(set, listing("b"), start);
    on_load_reading(server("a"), {.running = 2, .slots = 2, .slowdown = 1.0, .received_at = start},
                    {});
    on_load_reading(server("b"), {.running = 0, .slots = 2, .slowdown = 1.0, .received_at = start},
                    {});
    EXPECT_TRUE(is_full(server("a"), start));
    EXPECT_GT(expected_cost(set, server("a"), start), 1.5 * expected_cost(set, server("b"), start));
    EXPECT_FALSE(is_full(server("a"), start + 1s));
    on_load_reading(server("b"),
                    {.running = 0, .slots = 2, .slowdown = 5.0, .received_at = start + 1s}, {});
    EXPECT_LT(expected_cost(set, server("a"), start + 1s),
              expected_cost(set, server("b"), start + 1s));
}

// Guards against a request at an idle server on which work takes five times as long at the moment:
// all of the request's work takes that long, so a busy server is better.
TEST_F(backends_test, a_server_that_works_slowly_ranks_below_a_busy_one)
{
    set.service_states["orders"].latency = 300ms;
    apply_listing(set, listing("slow"), start);
    apply_listing(set, listing("busy"), start);
    on_load_reading(server("slow"), {.slots = 2, .slowdown = 5.0, .received_at = start}, {});
    on_load_reading(server("busy"), {.running = 1, .slots = 2, .received_at = start}, {});
    EXPECT_GT(expected_cost(set, server("slow"), start),
              2.0 * expected_cost(set, server("busy"), start));
    EXPECT_FALSE(has_capacity(set, server("slow"), queueing::in_time, 1s, start));
    EXPECT_TRUE(has_capacity(set, server("slow"), queueing::in_time, 2s, start));
    EXPECT_TRUE(has_capacity(set, server("slow"), queueing::none, core::duration::max(), start))
        << "all servers may be slow";
}

// Guards against sending the full rate to a server that restarted without a new listing.
TEST_F(backends_test, a_health_response_with_a_warmup_makes_a_server_cold)
{
    apply_listing(set, listing("a"), start);
    on_load_reading(server("a"), {.slots = 2, .received_at = start}, 2s);
    EXPECT_EQ(server("a").state, backend_state::cold);
}

// Guards against a usual latency that a minority of slow responses raises.
TEST(route_latency, estimates_the_median_and_not_the_mean)
{
    route_latency route;
    for (int i = 0; i < 400; ++i)
    {
        record_latency(route, i % 4 == 3 ? 500ms : 100ms);
    }
    EXPECT_GT(route.median, 85ms);
    EXPECT_LT(route.median, 130ms);
}

// Guards against malformed or incomplete load headers that are accepted.
TEST(load_header, only_complete_load_headers_are_parsed)
{
    const auto read = parse_positional_load("3,1,8,250", start);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->running, 3U);
    EXPECT_EQ(read->waiting, 1U);
    EXPECT_EQ(read->slots, 8U);
    EXPECT_EQ(read->slowdown, 2.5);
    EXPECT_EQ(parse_positional_load("3,1,8", start)->slowdown, 1.0);
    for (const char* text :
         {"", "3", "3,1", "a,b,c", "3;1;8", "-1,0,2", "3,1,8,", "99999999999,0,1"})
    {
        EXPECT_FALSE(parse_positional_load(text, start)) << text;
    }
    EXPECT_EQ(parse_named_load("inflight=2;queue=1;slots=6;state=serving", start)->waiting, 1U);
    for (const char* text : {"", "inflight=2;queue=1", "inflight=x;queue=1;slots=2", "hello",
                             "inflight=2;inflight=3;slots=6", "inflight=2;queue=1;slots=6;queue=9"})
    {
        EXPECT_FALSE(parse_named_load(text, start)) << text;
    }
}

// Guards against a dump that shows a server as slow although it is selected as one at usual speed.
TEST_F(backends_test, the_dump_shows_slowness_as_the_selection_counts_it)
{
    apply_listing(set, listing("a"), start);
    server("a").slowness = 5.0;
    server("a").slowness_updated_at = start;
    const auto dumped_slowness = [&](core::time_point now)
    {
        return dump(set, now).at(0).at("slowness").as_double();
    };
    EXPECT_EQ(dumped_slowness(start), 5.0);
    EXPECT_EQ(dumped_slowness(start + 30s), slowness(server("a"), start + 30s));
    EXPECT_LT(dumped_slowness(start + 1h), 1.001);
}

// Guards against requests that wait at full servers until they are late, and against those that
// exceed the server's queue, whose connection the server closes without a response.
TEST_F(backends_test, a_full_server_has_capacity_only_for_requests_that_can_wait)
{
    set.service_states["orders"].latency = 300ms;
    apply_listing(set, listing("a"), start);
    const auto has_capacity_for = [&](std::uint32_t running, std::uint32_t waiting,
                                      queueing accepted, core::duration max_delay)
    {
        on_load_reading(server("a"),
                        {.running = running, .waiting = waiting, .slots = 2, .received_at = start},
                        {});
        return has_capacity(set, server("a"), accepted, max_delay, start);
    };
    EXPECT_TRUE(has_capacity_for(1, 0, queueing::none, 0ms)) << "a slot is free";
    EXPECT_FALSE(has_capacity_for(2, 0, queueing::none, 1s));
    EXPECT_TRUE(has_capacity_for(2, 0, queueing::in_time, 250ms))
        << "a slot is free after 150 ms, and half of that is added for safety";
    EXPECT_FALSE(has_capacity_for(2, 0, queueing::in_time, 200ms));
    EXPECT_FALSE(has_capacity_for(2, 2, queueing::in_time, 10s))
        << "as many requests wait as the server has slots";
}

// Guards against requests that are late in any case and take the last slot of a server, which makes
// those late that come next.
TEST_F(backends_test, a_late_request_leaves_a_slot_to_others)
{
    apply_listing(set, listing("a"), start);
    const auto has_spare_capacity = [&](std::uint32_t running, std::uint32_t slots)
    {
        on_load_reading(server("a"), {.running = running, .slots = slots, .received_at = start},
                        {});
        return has_capacity(set, server("a"), queueing::spare, core::duration::max(), start);
    };
    EXPECT_TRUE(has_spare_capacity(0, 2));
    EXPECT_FALSE(has_spare_capacity(1, 2));
    EXPECT_TRUE(has_spare_capacity(4, 6));
    EXPECT_FALSE(has_spare_capacity(5, 6));
    EXPECT_TRUE(has_spare_capacity(0, 1)) << "a server with one slot has no other to leave";
}

// Guards against a cold server that gets the requests of all daemons that selected it before its
// load probe showed that it is cold.
TEST(candidates, a_candidate_that_turns_cold_needs_a_cold_token)
{
    constexpr core::time_point start{1000s};
    backend_set set;
    set.options.own_name = "vm-1";
    set.members = {"vm-1"};
    set.service_states["orders"].warmup_rate = 2.0;
    apply_listing(set, {.id = "s-1", .service = "orders", .address = "a"}, start);
    backend& server = *set.by_id.at("s-1");
    EXPECT_TRUE(admit_candidate(set, server, false, start)) << "warm";
    on_load_reading(server, {.slots = 2, .received_at = start}, 3s);
    ASSERT_EQ(server.state, backend_state::cold);
    EXPECT_FALSE(admit_candidate(set, server, false, start));
    EXPECT_TRUE(admit_candidate(set, server, true, start)) << "has used its token";
    EXPECT_TRUE(admit_candidate(set, server, false, start + 2s)) << "has earned a token";
    EXPECT_FALSE(admit_candidate(set, server, false, start + 2s));
}

} // namespace
} // namespace zinniaferry::routing
