#include "load/statement_check.hpp"

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

namespace zinniaferry::load
{
namespace
{

// One request that a server answered 1 ms after its caller sent it.
struct logged_request
{
    std::int64_t sent_ms = 0;
    const char* daemon = "d1";
    int lifetime = 1;
    int status = 200;
    bool leaving = false;
    const char* retry_after_s = "null";
    const char* answered_by = "s1"; // The server of the answer that the caller got.
};

// Adds a request to server s1 in the formats of record files and exchange logs.
void add(exchange_history& history, const logged_request& request)
{
    const std::string id = std::to_string(history.requests.size());
    const std::int64_t sent_us = request.sent_ms * 1000;
    constexpr const char* record =
        R"({{"id":"{}","daemon":"{}","server":"{}","sent_us":{},"ended_us":{}}})";
    ASSERT_TRUE(add_caller_request(
        history,
        fmt::format(record, id, request.daemon, request.answered_by, sent_us, sent_us + 1000),
        "records"));
    constexpr const char* exchange =
        R"({{"caller_id":"{}","kind":"work","server":"s1","lifetime":{},"received_us":{},)"
        R"("ended_us":{},"status":{},"leaving":{},"retry_after_s":{}}})";
    ASSERT_TRUE(add_exchange(history,
                             fmt::format(exchange, id, request.lifetime, sent_us, sent_us + 1000,
                                         request.status, request.leaving, request.retry_after_s),
                             "exchanges"));
}

statement_result check(const std::vector<logged_request>& requests,
                       std::optional<std::int64_t> interrupted_ms = std::nullopt)
{
    exchange_history history;
    for (const logged_request& request : requests)
    {
        add(history, request);
    }
    if (interrupted_ms)
    {
        history.interruptions["d1"].emplace_back(std::chrono::milliseconds(*interrupted_ms));
    }
    return check_statements(history);
}

// Guards against a daemon that ignores leaving and is not caught, and against a bound that begins
// too early.
TEST(statement_check, counts_requests_sent_after_the_bound_of_leaving)
{
    const logged_request leaving{.sent_ms = 0, .leaving = true};
    const statement_result result = check({leaving, {.sent_ms = 2001}, {.sent_ms = 2002}});
    EXPECT_EQ(result.after_leaving, 1U);
    EXPECT_EQ(result.leaving_passed_on, 1U);
    EXPECT_EQ(violation_count(result), 1U);
    EXPECT_EQ(result.examples.size(), 1U);
}

// Guards against false violations: another daemon, a later lifetime, a misdirected request, an
// answer that the caller did not get, and a daemon that was restarted in between.
TEST(statement_check, leaving_binds_only_the_daemon_that_passed_it_on)
{
    const logged_request leaving{.sent_ms = 0, .leaving = true};
    EXPECT_EQ(violation_count(check({leaving, {.sent_ms = 3000, .daemon = "d2"}})), 0U);
    EXPECT_EQ(violation_count(check({leaving, {.sent_ms = 3000, .lifetime = 2}})), 0U);
    EXPECT_EQ(violation_count(check({leaving, {.sent_ms = 3000, .status = 421}})), 0U);
    const logged_request unseen{.sent_ms = 0, .leaving = true, .answered_by = "s2"};
    EXPECT_EQ(violation_count(check({unseen, {.sent_ms = 3000}})), 0U);
    EXPECT_EQ(violation_count(check({leaving, {.sent_ms = 3000}}, 1500)), 0U);
    EXPECT_EQ(violation_count(check({leaving, {.sent_ms = 3000}}, 3500)), 1U);
}

// Guards against a daemon that ignores Retry-After and is not caught, and against counting what is
// permitted: the first half second, two requests, and any number after the end, fractions included.
TEST(statement_check, counts_requests_beyond_two_in_a_pause)
{
    const logged_request rejected{.status = 503, .retry_after_s = "1.5", .answered_by = ""};
    std::vector<logged_request> requests{rejected,          {.sent_ms = 100},  {.sent_ms = 501},
                                         {.sent_ms = 502},  {.sent_ms = 1500}, {.sent_ms = 1501},
                                         {.sent_ms = 1502}, {.sent_ms = 1503}};
    EXPECT_EQ(violation_count(check(requests)), 0U);
    requests.push_back({.sent_ms = 800});
    requests.push_back({.sent_ms = 900, .daemon = "d2"});
    const statement_result result = check(requests);
    EXPECT_EQ(result.pauses, 1U);
    EXPECT_EQ(result.in_pause, 1U);
    EXPECT_EQ(violation_count(result), 1U);
    EXPECT_EQ(violation_count(check(requests, 600)), 0U);
}

// Guards against counting a request once for each of several pauses that it breaks.
TEST(statement_check, counts_a_request_in_two_pauses_once)
{
    const logged_request rejected{.status = 503, .retry_after_s = "2"};
    logged_request again = rejected;
    again.sent_ms = 10;
    EXPECT_EQ(
        check({rejected, again, {.sent_ms = 600}, {.sent_ms = 700}, {.sent_ms = 800}}).in_pause,
        1U);
}

// Guards against requests that the check leaves out silently, and against counting health checks as
// requests.
TEST(statement_check, reports_requests_without_a_record)
{
    exchange_history history;
    ASSERT_TRUE(add_exchange(history, R"({"kind":"health_check"})", "exchanges"));
    add(history, {});
    history.requests.clear();
    const statement_result result = check_statements(history);
    EXPECT_EQ(result.health_checks, 1U);
    EXPECT_EQ(result.received, 1U);
    EXPECT_EQ(violation_count(result), 1U);
    EXPECT_EQ(result.unattributed, 1U);
}

} // namespace
} // namespace zinniaferry::load
