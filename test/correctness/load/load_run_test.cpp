#include "load/load_run.hpp"

#include "load/record_check.hpp"
#include "load/statement_check.hpp"
#include "stand_in/answer.hpp"
#include "stand_in/backend.hpp"
#include "support/loopback.hpp"

#include <gtest/gtest.h>

#include <cstdio>

namespace zinniaferry::load
{
namespace
{

using stand_in::http_request;
using stand_in::http_response;

// Sends one request to a loopback server with the handler and returns the result.
request_result request_once(const stand_in::http_handler& handler,
                            milliseconds timeout = test::wait_timeout)
{
    stand_in::connection_set connections;
    boost::asio::io_context context;
    test::loopback_server server(context, handler, connections);
    const auto pool = make_connection_pool({server.acceptor.local_endpoint()});
    std::optional<request_result> result;
    boost::asio::co_spawn(
        context,
        send_once(pool, {.method = "GET", .path_and_query = "/x?id=1", .timeout = timeout}),
        [&](const std::exception_ptr&, request_result value) { result = value; });
    EXPECT_TRUE(test::run_until(context, [&] { return result.has_value(); }));
    return result.value_or(request_result{});
}

stand_in::http_handler always(http_response response)
{
    return [response](http_request) -> boost::asio::awaitable<http_response>
    {
        co_return response;
    };
}

// Guards against counting the response to another request, or a part of a response, as an answer.
TEST(client, detects_crossed_and_truncated_responses)
{
    const std::string own = stand_in::make_response_body("r", "s", "/x?id=1", 64);
    const std::string other = stand_in::make_response_body("r", "s", "/x?id=2", 64);
    const request_result whole = request_once(always(stand_in::json_response(200, own)));
    EXPECT_EQ(whole.verdict, verdict::whole);
    EXPECT_EQ(whole.outcome, outcome::answered);
    EXPECT_EQ(request_once(always(stand_in::json_response(200, other))).verdict, verdict::crossed);
    EXPECT_EQ(request_once(always(stand_in::json_response(200, own.substr(1)))).verdict,
              verdict::truncated);
    EXPECT_EQ(request_once(always(stand_in::json_response(200, "{}"))).verdict, verdict::truncated);
}

// Guards against reporting a request as not run although it may have been executed, and against
// reporting a certain non-execution as unknown.
TEST(client, reports_the_outcome_of_failures)
{
    const request_result not_run =
        request_once(always(stand_in::json_response(503, R"({"outcome": "not_run"})")));
    EXPECT_EQ(not_run.outcome, outcome::not_run);
    EXPECT_EQ(not_run.status, 503U);
    EXPECT_EQ(
        request_once(always(stand_in::json_response(504, R"({"outcome": "unknown"})"))).outcome,
        outcome::unknown);
    const std::string own = stand_in::make_response_body("r", "s", "/x?id=1", 64);
    for (const unsigned status : {302U, 404U, 500U, 504U})
    {
        const request_result failed = request_once(always(stand_in::json_response(status, own)));
        EXPECT_EQ(failed.outcome, outcome::unknown) << status;
        EXPECT_EQ(failed.verdict, verdict::whole) << status;
    }
    const request_result cut = request_once(always({.reset_connection = true}));
    EXPECT_EQ(cut.verdict, verdict::cut);
    EXPECT_EQ(cut.outcome, outcome::unknown);
    auto group = stand_in::make_backend_group(
        {.service_time = milliseconds(1e9), .fixed_service_time = true}, "");
    ASSERT_TRUE(group);
    const request_result late = request_once(
        stand_in::make_backend_handler(*(*group)->servers.front()), milliseconds(20.0));
    EXPECT_EQ(late.verdict, verdict::timeout);
    EXPECT_EQ(late.outcome, outcome::unknown);
}

struct checked_run
{
    check_result executions;
    statement_result statements;
};

// Sends ten requests with idempotency keys to two listeners of one stand-in server, which does not
// deduplicate keys and says that it leaves, and checks the records against its logs. `repeat_ratio`
// of them are repeated, at once or when the first request was not answered.
checked_run run_keyed_requests(double repeat_ratio)
{
    const std::string exchange_log_file = testing::TempDir() + "load_run_test_exchanges";
    const std::string execution_log_file = testing::TempDir() + "load_run_test_log";
    const std::string record_file = testing::TempDir() + "load_run_test_records";
    std::remove(execution_log_file.c_str());
    std::remove(exchange_log_file.c_str());
    auto group = stand_in::make_backend_group({.service_time = milliseconds(0.0)},
                                              execution_log_file, exchange_log_file);
    EXPECT_TRUE(group);
    (*group)->servers.front()->leaving = true;
    const auto handler = stand_in::make_backend_handler(*(*group)->servers.front());
    stand_in::connection_set connections;
    run_state state{.options = {.id_prefix = "test",
                                .duration = seconds(0.105),
                                .spacing = arrival_spacing::fixed,
                                .repeat_ratio = repeat_ratio},
                    .mix = {.accounts = {{.name = "a", .rate = 100.0}},
                            .routes = {{.name = "order",
                                        .method = "POST",
                                        .path = "/orders",
                                        .idempotent = false,
                                        .send_idempotency_key = true}}},
                    .target_count = 2};
    boost::asio::io_context context;
    test::loopback_server first(context, handler, connections);
    test::loopback_server second(context, handler, connections);
    state.pool =
        make_connection_pool({first.acceptor.local_endpoint(), second.acceptor.local_endpoint()});
    state.record_file.open(record_file, std::ios::trunc);
    start_run(state, context);
    run_to_completion(state, context);
    run_history history;
    exchange_history exchanges;
    std::string line;
    for (std::ifstream file(record_file); std::getline(file, line);)
    {
        EXPECT_TRUE(add_record(history, line, record_file));
        EXPECT_TRUE(add_caller_request(exchanges, line, record_file));
    }
    for (std::ifstream file(exchange_log_file); std::getline(file, line);)
    {
        EXPECT_TRUE(add_exchange(exchanges, line, exchange_log_file));
    }
    for (std::ifstream file(execution_log_file); std::getline(file, line);)
    {
        EXPECT_TRUE(add_execution(history, line, execution_log_file));
    }
    EXPECT_EQ(state.report.total.sent, history.records);
    std::remove(execution_log_file.c_str());
    std::remove(exchange_log_file.c_str());
    std::remove(record_file.c_str());
    return {.executions = check_history(history), .statements = check_statements(exchanges)};
}

// Guards against records that cannot be matched to the logs, for example because the ids differ:
// the checks could then not detect a violation.
TEST(load_run, records_agree_with_the_execution_log)
{
    const auto [result, statements] = run_keyed_requests(0.0);
    EXPECT_EQ(result.records, 10U);
    EXPECT_EQ(result.executions, 10U);
    EXPECT_EQ(violation_count(result), 0U) << testing::PrintToString(result.examples);
    EXPECT_EQ(statements.leaving_passed_on, 10U);
    EXPECT_EQ(violation_count(statements), 0U) << testing::PrintToString(statements.examples);
}

// Guards against repeats without the idempotency key of the first request. With no daemon in
// between, the server executes both, which the check must report.
TEST(load_run, repeats_requests_with_the_same_key)
{
    const check_result result = run_keyed_requests(1.0).executions;
    EXPECT_GT(result.repeated_keys, 0U);
    EXPECT_EQ(result.records, 10U + result.repeated_keys);
    EXPECT_EQ(violation_count(result), result.repeated_keys);
}

// Guards against a rate of sent requests that includes those which were never sent.
TEST(report, limited_requests_are_not_counted_as_sent)
{
    run_report report;
    count_request(report, {.route = "r", .account = "a", .verdict = verdict::whole});
    const request_record limited = {
        .route = "r", .account = "a", .outcome = outcome::not_run, .verdict = verdict::limited};
    count_request(report, limited);
    count_request(report, limited);
    for (const request_stats& stats :
         {report.total, report.routes.at("r"), report.accounts.at("a")})
    {
        EXPECT_EQ(stats.due, 3U);
        EXPECT_EQ(stats.sent, 1U);
        EXPECT_EQ(stats.verdicts.at("limited"), 2U);
        EXPECT_EQ(stats.outcomes.at("not_run"), 2U);
    }
}

// Guards against percentiles that are wrong by more than a bucket (1%), and against a maximum that
// is rounded or lost.
TEST(report, percentiles_are_within_one_bucket)
{
    run_report report;
    for (int i = 1; i <= 1000; ++i)
    {
        count_request(report, {.route = "r",
                               .account = "a",
                               .outcome = outcome::answered,
                               .verdict = verdict::whole,
                               .latency = milliseconds(i)});
    }
    count_request(report, {.route = "r", .account = "a", .verdict = verdict::crossed});
    const request_stats& route = report.routes.at("r");
    EXPECT_NEAR(percentile(route, 0.5).count(), 500.0, 500.0 * 0.011);
    EXPECT_NEAR(percentile(route, 0.99).count(), 990.0, 990.0 * 0.011);
    EXPECT_EQ(route.max_latency, milliseconds(1000.0));
    EXPECT_EQ(report.accounts.at("a").sent, 1001U);
    EXPECT_EQ(wrong_response_count(report), 1U);
}

} // namespace
} // namespace zinniaferry::load
