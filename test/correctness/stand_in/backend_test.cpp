#include "stand_in/backend.hpp"

#include "stand_in/answer.hpp"
#include "support/loopback.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <cstdio>

namespace zinniaferry::stand_in
{
namespace
{

using test::get_response;
using test::make_request;
using test::run_until;

// So long that a request ends in these tests only when something ends it.
constexpr milliseconds endless{1e9};

struct backend_test : testing::Test
{
    void open(const backend_options& options, const std::string& log = "")
    {
        auto made = make_backend_group(options, log);
        ASSERT_TRUE(made);
        group = std::move(*made);
        handler = make_backend_handler(first());
    }

    backend& first() { return *group->servers.front(); }

    http_request work(std::map<std::string, std::string, std::less<>> headers = {})
    {
        http_request request = make_request("GET", "/orders");
        request.headers = std::move(headers);
        return request;
    }

    unsigned control(const std::string& command,
                     std::map<std::string, std::string, std::less<>> query = {})
    {
        return get_response(context, make_backend_control(*group),
                            make_request("POST", "/control/" + command, std::move(query)))
            .status;
    }

    std::unique_ptr<backend_group> group; // Outlives the requests that the context still holds.
    http_handler handler;
    boost::asio::io_context context;
};

// Guards against a shed request that ran, which would make "not run" untrue.
TEST_F(backend_test, sheds_without_running_when_the_queue_is_full)
{
    open({.slots = 1, .queue = 1, .service_time = endless, .fixed_service_time = true});
    const auto running = test::start(context, handler, work());
    const auto queued = test::start(context, handler, work());
    ASSERT_TRUE(run_until(context, [&] { return first().waiting.size() == 1; }));
    const http_reply shed = get_response(context, handler, work());
    EXPECT_EQ(shed.status, 503U);
    EXPECT_EQ(test::header(shed, "X-Zinnia-Outcome"), "not-run");
    EXPECT_EQ(test::header(shed, "X-Zinnia-Load"), "inflight=1;queue=1;slots=1;state=serving");
    EXPECT_EQ(first().counters.executions, 1U);
}

// Guards against a request that waits although its deadline passes first.
TEST_F(backend_test, sheds_when_the_deadline_cannot_be_met)
{
    open({.slots = 1, .queue = 9, .service_time = endless, .fixed_service_time = true});
    const auto running = test::start(context, handler, work());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    EXPECT_EQ(get_response(context, handler, work({{"x-zinnia-deadline-ms", "500"}})).status, 503U);
    EXPECT_EQ(first().counters.executions, 1U);
}

// Guards against a deadline that does not end the work, and against calling cut work not run.
TEST_F(backend_test, a_deadline_cuts_work)
{
    open({.service_time = endless, .fixed_service_time = true});
    const http_reply cut = get_response(context, handler, work({{"x-zinnia-deadline-ms", "5"}}));
    EXPECT_EQ(cut.status, 504U);
    EXPECT_EQ(test::header(cut, "X-Zinnia-Outcome"), "");
    EXPECT_EQ(first().counters.cut, 1U);
    EXPECT_EQ(first().running, 0U);
}

// Guards against an over-run of a cold server that is not counted, and a false one.
TEST_F(backend_test, counts_requests_beyond_the_cold_allowance)
{
    open({.slots = 4,
          .service_time = endless,
          .fixed_service_time = true,
          .cold_time = endless,
          .cold_allowance = 2});
    const auto a = test::start(context, handler, work());
    const auto b = test::start(context, handler, work());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 2; }));
    EXPECT_EQ(first().counters.cold_overruns, 0U);
    const auto c = test::start(context, handler, work());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 3; }));
    EXPECT_EQ(first().counters.cold_overruns, 1U);
    EXPECT_EQ(load_report(first()), "inflight=3;queue=0;slots=4;state=cold");
}

// Guards against work that goes on, or starts, after its caller has closed the connection.
TEST_F(backend_test, a_closed_connection_cancels_its_request)
{
    open({.slots = 1, .service_time = endless, .fixed_service_time = true});
    test::loopback_server server(context, handler, first().connections);
    const auto endpoint = server.acceptor.local_endpoint();
    const std::string text = "GET /orders HTTP/1.1\r\nHost: x\r\n\r\n";
    test::tcp::socket running(context);
    test::send_text(running, endpoint, text);
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    test::tcp::socket queued(context);
    test::send_text(queued, endpoint, text);
    ASSERT_TRUE(run_until(context, [&] { return first().waiting.size() == 1; }));
    queued.close();
    ASSERT_TRUE(run_until(context, [&] { return first().waiting.empty(); }));
    EXPECT_EQ(first().counters.executions, 1U);
    running.close();
    ASSERT_TRUE(run_until(context, [&] { return first().running == 0; }));
    EXPECT_EQ(first().counters.cancelled, 1U);
}

// Guards against a restart that leaves connections or work of the time before.
TEST_F(backend_test, restart_closes_connections_and_turns_cold)
{
    open({.service_time = endless, .fixed_service_time = true, .cold_time = endless});
    ASSERT_EQ(control("cold", {{"ms", "0"}}), 200U);
    EXPECT_EQ(load_report(first()), "inflight=0;queue=0;slots=2;state=serving");
    test::loopback_server server(context, handler, first().connections);
    test::tcp::socket caller(context);
    test::send_text(caller, server.acceptor.local_endpoint(),
                    "GET /orders HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    ASSERT_EQ(control("restart", {{"server", "service-1"}}), 200U);
    ASSERT_TRUE(run_until(context, [&] { return first().running == 0; }));
    EXPECT_EQ(load_report(first()), "inflight=0;queue=0;slots=2;state=cold");
    char byte = 0;
    boost::system::error_code error;
    caller.receive(boost::asio::buffer(&byte, 1), 0, error);
    EXPECT_EQ(error, boost::asio::error::connection_reset);
}

// Guards against a mode that has no effect.
TEST_F(backend_test, modes_change_the_answers)
{
    open({.service_time = milliseconds(0.0), .late_by = milliseconds(1.0)});
    EXPECT_EQ(get_response(context, handler, work()).status, 200U);
    ASSERT_EQ(control("drain"), 200U);
    const http_reply drained = get_response(context, handler, work());
    EXPECT_EQ(test::header(drained, "X-Zinnia-Outcome"), "not-run");
    EXPECT_EQ(test::header(drained, "X-Zinnia-Load"), "inflight=0;queue=0;slots=2;state=draining");
    ASSERT_EQ(control("fail_fast"), 200U);
    EXPECT_EQ(get_response(context, handler, work()).status, 500U);
    ASSERT_EQ(control("late"), 200U);
    const auto before = backend_clock::now();
    EXPECT_EQ(get_response(context, handler, work({{"x-zinnia-deadline-ms", "5"}})).status, 200U);
    EXPECT_GE(backend_clock::now() - before, std::chrono::milliseconds(6));
    ASSERT_EQ(control("normal"), 200U);
    EXPECT_EQ(get_response(context, handler, work()).status, 200U);
    EXPECT_EQ(first().counters.executions, 3U);
}

// Guards against a report that tells the truth although it is set to lag or to mislead.
TEST_F(backend_test, the_report_lags_and_misleads_when_asked_to)
{
    const backend_options options{.service_time = endless, .fixed_service_time = true};
    backend_options lagging = options;
    lagging.report_lag = endless;
    open(lagging);
    const auto a = test::start(context, handler, work());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    EXPECT_EQ(load_report(first()), "inflight=0;queue=0;slots=2;state=serving");
    first().group->options.report_lag = milliseconds(0.0);
    first().group->options.report_bias = 3.0;
    EXPECT_EQ(load_report(first()), "inflight=3;queue=0;slots=2;state=serving");
}

// Guards against an execution log that lacks what the check of records compares.
TEST_F(backend_test, logs_each_execution_and_counts_key_headers)
{
    const std::string file = testing::TempDir() + "backend_test_log";
    std::remove(file.c_str());
    open({.service_time = milliseconds(0.0)}, file);
    http_request request = work({{"x-zinnia-request-id", "r1"},
                                 {"idempotency-key", "k1"},
                                 {"x-zinnia-account", "a1"},
                                 {"x-zinnia-key", "secret"}});
    request.query["id"] = "c1";
    EXPECT_EQ(get_response(context, handler, request).status, 200U);
    EXPECT_EQ(first().counters.key_headers, 1U);
    std::ifstream log(file);
    std::string line;
    ASSERT_TRUE(std::getline(log, line));
    const auto entry = boost::json::parse(line);
    EXPECT_EQ(entry.at("request_id"), "r1");
    EXPECT_EQ(entry.at("idempotency_key"), "k1");
    EXPECT_EQ(entry.at("account"), "a1");
    EXPECT_EQ(entry.at("caller_id"), "c1");
    EXPECT_EQ(entry.at("end"), "completed");
    EXPECT_EQ(entry.at("key_header"), true);
    EXPECT_FALSE(std::getline(log, line));
    std::remove(file.c_str());
}

// Guards against a caller that takes a crossed or truncated answer for its own.
TEST(answer_test, tells_crossed_and_truncated_answers)
{
    const std::string body = make_answer("r1", "orders-1", "/orders?id=1", 64);
    EXPECT_EQ(check_answer(body, "/orders?id=1"), answer_check::whole);
    EXPECT_EQ(check_answer(body, "/orders?id=2"), answer_check::crossed);
    EXPECT_EQ(check_answer(body.substr(0, body.size() - 1), "/orders?id=1"),
              answer_check::truncated);
    std::string shorter = body;
    shorter.erase(body.find("\"content\":\"") + 11, 8);
    EXPECT_EQ(check_answer(shorter, "/orders?id=1"), answer_check::truncated);
    EXPECT_EQ(check_answer("", "/orders?id=1"), answer_check::truncated);
    EXPECT_EQ(check_answer(R"({"error": "shed"})", "/orders?id=1"), answer_check::foreign);
}

} // namespace
} // namespace zinniaferry::stand_in
