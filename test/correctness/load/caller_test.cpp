#include "load/caller.hpp"

#include "load/record_check.hpp"
#include "stand_in/answer.hpp"
#include "stand_in/backend.hpp"
#include "support/loopback.hpp"

#include <gtest/gtest.h>

#include <cstdio>

namespace zinniaferry::load
{
namespace
{

using stand_in::http_reply;
using stand_in::http_request;

// Sends one request to a server with that handler and returns the result.
call_result call_once(const stand_in::http_handler& handler,
                      milliseconds timeout = test::wait_timeout)
{
    stand_in::connection_set connections;
    boost::asio::io_context context;
    test::loopback_server server(context, handler, connections);
    const auto pool = make_pool({server.acceptor.local_endpoint()});
    std::optional<call_result> result;
    boost::asio::co_spawn(context,
                          send(pool, {.method = "GET", .path = "/x?id=1", .timeout = timeout}),
                          [&](const std::exception_ptr&, call_result value) { result = value; });
    EXPECT_TRUE(test::run_until(context, [&] { return result.has_value(); }));
    return result.value_or(call_result{});
}

stand_in::http_handler always(http_reply reply)
{
    return [reply](http_request) -> boost::asio::awaitable<http_reply>
    {
        co_return reply;
    };
}

// Guards against an answer to another request, or a part of one, that counts as an answer.
TEST(client, finds_crossed_and_truncated_answers)
{
    const std::string own = stand_in::make_answer("r", "s", "/x?id=1", 64);
    const std::string other = stand_in::make_answer("r", "s", "/x?id=2", 64);
    const call_result whole = call_once(always(stand_in::json_reply(200, own)));
    EXPECT_EQ(whole.verdict, verdict::whole);
    EXPECT_EQ(whole.outcome, outcome::answered);
    EXPECT_EQ(call_once(always(stand_in::json_reply(200, other))).verdict, verdict::crossed);
    EXPECT_EQ(call_once(always(stand_in::json_reply(200, own.substr(1)))).verdict,
              verdict::truncated);
    EXPECT_EQ(call_once(always(stand_in::json_reply(200, "{}"))).verdict, verdict::truncated);
}

// Guards against a request that is called not run although it may have run, and the reverse.
TEST(client, tells_the_outcome_of_failures)
{
    const call_result not_run =
        call_once(always(stand_in::json_reply(503, R"({"outcome": "not_run"})")));
    EXPECT_EQ(not_run.outcome, outcome::not_run);
    EXPECT_EQ(not_run.status, 503U);
    EXPECT_EQ(call_once(always(stand_in::json_reply(504, R"({"outcome": "unknown"})"))).outcome,
              outcome::unknown);
    const call_result cut = call_once(always({.reset = true}));
    EXPECT_EQ(cut.verdict, verdict::cut);
    EXPECT_EQ(cut.outcome, outcome::unknown);
    auto group = stand_in::make_backend_group(
        {.service_time = milliseconds(1e9), .fixed_service_time = true}, "");
    ASSERT_TRUE(group);
    const call_result late =
        call_once(stand_in::make_backend_handler(*(*group)->servers.front()), milliseconds(20.0));
    EXPECT_EQ(late.verdict, verdict::timeout);
    EXPECT_EQ(late.outcome, outcome::unknown);
}

// Runs ten orders, each repeated at once or after no answer, against two servers that share
// nothing, and compares the records with the execution log.
findings run_orders(double repeat_orders)
{
    const std::string log = testing::TempDir() + "caller_test_log";
    const std::string records = testing::TempDir() + "caller_test_records";
    std::remove(log.c_str());
    auto group = stand_in::make_backend_group({.service_time = milliseconds(0.0)}, log);
    EXPECT_TRUE(group);
    const auto handler = stand_in::make_backend_handler(*(*group)->servers.front());
    stand_in::connection_set connections;
    run_state state{.options = {.name = "test",
                                .duration = seconds(0.105),
                                .kind = spacing::fixed,
                                .repeat_orders = repeat_orders},
                    .loads = {.accounts = {{.name = "a", .rate = 100.0}},
                              .routes = {{.name = "order",
                                          .method = "POST",
                                          .path = "/orders",
                                          .idempotent = false,
                                          .idempotency_key = true}}},
                    .targets = 2};
    boost::asio::io_context context;
    test::loopback_server first(context, handler, connections);
    test::loopback_server second(context, handler, connections);
    state.pool = make_pool({first.acceptor.local_endpoint(), second.acceptor.local_endpoint()});
    state.records.open(records, std::ios::trunc);
    start_run(state, context);
    finish_run(state, context);
    evidence seen;
    std::string line;
    for (std::ifstream file(records); std::getline(file, line);)
    {
        EXPECT_TRUE(add_record(seen, line, records));
    }
    for (std::ifstream file(log); std::getline(file, line);)
    {
        EXPECT_TRUE(add_execution(seen, line, log));
    }
    EXPECT_EQ(state.report.all.sent, seen.records);
    std::remove(log.c_str());
    std::remove(records.c_str());
    return judge(seen);
}

// Guards against records and logs that the check cannot match, which would make it blind.
TEST(caller, records_agree_with_the_execution_log)
{
    const findings found = run_orders(0.0);
    EXPECT_EQ(found.records, 10U);
    EXPECT_EQ(found.executions, 10U);
    EXPECT_EQ(violations(found), 0U) << testing::PrintToString(found.examples);
}

// Guards against repeats that do not carry the key of the first attempt: servers that are called
// without a daemon run both, and the check must see that.
TEST(caller, repeats_orders_with_the_same_key)
{
    const findings found = run_orders(1.0);
    EXPECT_GT(found.repeated_keys, 0U);
    EXPECT_EQ(found.records, 10U + found.repeated_keys);
    EXPECT_EQ(violations(found), found.repeated_keys);
}

// Guards against percentiles that are off by more than a bucket, and a lost maximum.
TEST(report, percentiles_are_within_one_bucket)
{
    report state;
    for (int i = 1; i <= 1000; ++i)
    {
        add(state, {.route = "r",
                    .account = "a",
                    .outcome = outcome::answered,
                    .verdict = verdict::whole,
                    .latency = milliseconds(i)});
    }
    add(state, {.route = "r", .account = "a", .verdict = verdict::crossed});
    const tally& route = state.routes.at("r");
    EXPECT_NEAR(percentile(route, 0.5).count(), 500.0, 500.0 * 0.011);
    EXPECT_NEAR(percentile(route, 0.99).count(), 990.0, 990.0 * 0.011);
    EXPECT_EQ(route.max, milliseconds(1000.0));
    EXPECT_EQ(state.accounts.at("a").sent, 1001U);
    EXPECT_EQ(wrong_answers(state), 1U);
}

} // namespace
} // namespace zinniaferry::load
