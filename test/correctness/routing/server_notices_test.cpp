#include "routing/candidates.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

listed_backend listing(const std::string& id, std::uint64_t incarnation = 1)
{
    return {.id = id, .service = "orders", .address = "10.0.0.1:80", .incarnation = incarnation};
}

struct server_notices_test : testing::Test
{
    server_notices_test()
    {
        set.options.own_name = "vm-1";
        set.members = {"vm-1"};
        set.service_states["orders"] = {.latency = 100ms, .warmup_rate = 2.0, .warmup = 3s};
    }

    std::vector<notice_change> hear(const std::string& id, const server_notice& notice,
                                    core::time_point now = start, std::uint64_t incarnation = 1)
    {
        return record_notice(set.notices, {id, incarnation}, notice, notice_source::request, now);
    }

    std::size_t candidate_count(core::time_point now)
    {
        return select_candidates(set, "orders", {}, 10, now, random).size();
    }

    std::uint64_t passed_over(pass_over_reason reason) const
    {
        return set.passed_over.at(static_cast<std::size_t>(reason));
    }

    backend_set set;
    core::random_generator random{7};
};

constexpr server_notice leaves{.leaving = true};
constexpr server_notice pauses{.retry_after = 2s};

// Guards against requests to a server that has said that it leaves, because its listing is late,
// was missing for a time or is of an earlier start.
TEST_F(server_notices_test, a_leaving_holds_until_a_newer_incarnation_is_listed)
{
    apply_listing(set, listing("a"), start);
    hear("a", leaves);
    EXPECT_EQ(candidate_count(start), 0U);
    apply_listing(set, listing("a"), start + 1s);
    EXPECT_EQ(candidate_count(start + 1s), 0U);
    remove_listing(set, "a");
    apply_listing(set, listing("a"), start + 200s);
    EXPECT_EQ(candidate_count(start + 200s), 0U);
    apply_listing(set, listing("a", 0), start + 201s);
    EXPECT_EQ(candidate_count(start + 201s), 0U);
    EXPECT_EQ(passed_over(pass_over_reason::leaving), 4U);
    apply_listing(set, listing("a", 2), start + 202s);
    EXPECT_EQ(candidate_count(start + 202s), 1U);
    hear("a", leaves, start + 203s, 2);
    const auto ended = end_earlier_lifetimes(set.notices, {"a", 3}, start + 205s);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().ended, notice_end::new_lifetime);
    EXPECT_EQ(ended.front().age, 2s);
    EXPECT_TRUE(set.notices.by_id.empty());
}

// Guards against a late response of an earlier start that takes a restarted server out of service.
TEST_F(server_notices_test, a_notice_of_an_earlier_lifetime_is_ignored)
{
    apply_listing(set, listing("a", 2), start);
    hear("a", {.retry_after = 1s}, start, 2);
    EXPECT_TRUE(hear("a", leaves, start, 1).empty());
    EXPECT_EQ(candidate_count(start + 1s), 1U);
}

// Guards against requests and trial probes before the time that a server has stated: as a serving,
// cold or suspect one, and while most servers of the service are suspect.
TEST_F(server_notices_test, a_server_gets_nothing_before_its_stated_time)
{
    for (const backend_state state :
         {backend_state::serving, backend_state::cold, backend_state::suspect})
    {
        set.by_id.clear();
        set.by_service.clear();
        set.notices.by_id.clear();
        listed_backend listed = listing("a");
        listed.warmup_left = state == backend_state::cold ? core::duration(10s) : 0s;
        apply_listing(set, listed, start - 5s);
        if (state == backend_state::suspect)
        {
            on_sent(*set.by_id.at("a"));
            on_failed(*set.by_id.at("a"), failure_kind::unreachable, start - 5s);
        }
        ASSERT_EQ(set.by_id.at("a")->state, state);
        hear("a", pauses);
        EXPECT_EQ(candidate_count(start + 1999ms), 0U);
        EXPECT_TRUE(take_due_probes(set, start + 1999ms).empty());
        EXPECT_EQ(candidate_count(start + 2s), 1U);
        EXPECT_EQ(take_due_probes(set, start + 2s).size(), state == backend_state::suspect);
    }
    EXPECT_EQ(passed_over(pass_over_reason::retry_later), 3U);
}

// Guards against requests to suspect servers because the others want nothing for a moment.
TEST_F(server_notices_test, paused_servers_do_not_count_as_suspect)
{
    for (const char* id : {"a", "b", "c", "d"})
    {
        apply_listing(set, listing(id), start);
    }
    for (const char* id : {"a", "b"})
    {
        on_sent(*set.by_id.at(id));
        on_failed(*set.by_id.at(id), failure_kind::unreachable, start);
    }
    hear("c", pauses);
    EXPECT_EQ(candidate_count(start), 1U);
    EXPECT_EQ(passed_over(pass_over_reason::suspect), 2U);
}

// Guards against a shorter statement that ends a longer one, and against a wrong value that takes a
// server out of service for good.
TEST_F(server_notices_test, beliefs_are_extended_and_bounded)
{
    EXPECT_EQ(hear("a", {.retry_after = 3s}).size(), 1U);
    EXPECT_TRUE(hear("a", {.retry_after = 1s}, start + 1s).empty());
    EXPECT_EQ(retry_later_until(set.notices, "a", 1, start + 1s), start + 3s);
    const auto ended = expire(set.notices, start + 4s);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().ended, notice_end::time_passed);
    EXPECT_EQ(ended.front().age, 3s);
    hear("a", {.leaving = true, .retry_after = 1000h});
    EXPECT_FALSE(retry_later_until(set.notices, "a", 1, start + 10min));
    EXPECT_EQ(expire(set.notices, start + 24h).size(), 2U);
    set.notices.max_servers = 2;
    hear("a", leaves);
    hear("b", leaves, start + 1s);
    const auto changes = hear("c", leaves, start + 2s);
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes.back().ended, notice_end::evicted);
    EXPECT_FALSE(set.notices.by_id.contains("a"));
}

// Guards against requests that are held although no server may take them, and against callers that
// come back too early or all at once.
TEST_F(server_notices_test, the_pause_of_a_service_lasts_until_its_soonest_server)
{
    apply_listing(set, listing("a"), start);
    apply_listing(set, listing("b"), start);
    EXPECT_FALSE(service_pause(set, "orders", {}, start));
    hear("a", {.retry_after = 5s});
    EXPECT_FALSE(service_pause(set, "orders", {}, start));
    const std::vector<backend_pointer> tried = {set.by_id.at("b")};
    EXPECT_EQ(service_pause(set, "orders", tried, start), 5s);
    hear("b", pauses);
    EXPECT_EQ(service_pause(set, "orders", {}, start + 500ms), 1500ms);
    hear("b", leaves);
    EXPECT_EQ(service_pause(set, "orders", {}, start + 500ms), 4500ms);
    int early = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const core::duration time = spread_retry_after(4s, random);
        EXPECT_GE(time, 4s);
        EXPECT_LE(time, 8s);
        early += time < 6s ? 1 : 0;
    }
    EXPECT_NEAR(early, 500, 100);
}

} // namespace
} // namespace zinniaferry::routing
