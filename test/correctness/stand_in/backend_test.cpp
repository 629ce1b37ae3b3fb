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

// Longer than any test; used as service time, cold period and report lag. With this service time a
// request ends only by its deadline or by cancellation.
constexpr milliseconds unbounded_time{1e9};

struct backend_test : testing::Test
{
    void make_group(const backend_options& options, const std::string& log = "",
                    const std::string& exchange_log = "")
    {
        auto made = make_backend_group(options, log, exchange_log);
        ASSERT_TRUE(made);
        group = std::move(*made);
        handler = make_backend_handler(first());
    }

    backend& first() { return *group->servers.front(); }

    http_request make_work_request(std::map<std::string, std::string, std::less<>> headers = {})
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

    std::unique_ptr<backend_group> group; // Declared first: outlives the context's requests.
    http_handler handler;
    boost::asio::io_context context;
};

// Guards against executing a request that is rejected as not run because the queue is full.
TEST_F(backend_test, sheds_without_running_when_the_queue_is_full)
{
    make_group({.slots = 1,
                .queue_capacity = 1,
                .service_time = unbounded_time,
                .fixed_service_time = true});
    const auto running = test::start(context, handler, make_work_request());
    const auto queued = test::start(context, handler, make_work_request());
    ASSERT_TRUE(run_until(context, [&] { return first().waiting.size() == 1; }));
    const http_response shed = get_response(context, handler, make_work_request());
    EXPECT_EQ(shed.status, 503U);
    EXPECT_EQ(test::header(shed, "X-Zinnia-Outcome"), "not-run");
    EXPECT_EQ(test::header(shed, "X-Zinnia-Load"), "inflight=1;queue=1;slots=1;state=serving");
    EXPECT_EQ(first().counters.executions, 1U);
}

// Guards against queueing a request whose deadline passes before a slot can become free.
TEST_F(backend_test, sheds_when_the_deadline_cannot_be_met)
{
    make_group({.slots = 1,
                .queue_capacity = 9,
                .service_time = unbounded_time,
                .fixed_service_time = true});
    const auto running = test::start(context, handler, make_work_request());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    EXPECT_EQ(
        get_response(context, handler, make_work_request({{"x-zinnia-deadline-ms", "500"}})).status,
        503U);
    EXPECT_EQ(first().counters.executions, 1U);
}

// Guards against executing beyond the deadline, and against reporting an interrupted execution as
// not run.
TEST_F(backend_test, a_deadline_ends_execution)
{
    make_group({.service_time = unbounded_time, .fixed_service_time = true});
    const http_response cut =
        get_response(context, handler, make_work_request({{"x-zinnia-deadline-ms", "5"}}));
    EXPECT_EQ(cut.status, 504U);
    EXPECT_EQ(test::header(cut, "X-Zinnia-Outcome"), "");
    EXPECT_EQ(first().counters.cut, 1U);
    EXPECT_EQ(first().running, 0U);
}

// Guards against missing requests beyond a cold server's allowance, and against counting requests
// within it.
TEST_F(backend_test, counts_requests_beyond_the_cold_allowance)
{
    make_group({.slots = 4,
                .service_time = unbounded_time,
                .fixed_service_time = true,
                .cold_time = unbounded_time,
                .cold_allowance = 2});
    const auto a = test::start(context, handler, make_work_request());
    const auto b = test::start(context, handler, make_work_request());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 2; }));
    EXPECT_EQ(first().counters.cold_overruns, 0U);
    const auto c = test::start(context, handler, make_work_request());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 3; }));
    EXPECT_EQ(first().counters.cold_overruns, 1U);
    EXPECT_EQ(reported_load(first()), "inflight=3;queue=0;slots=4;state=cold");
}

// Guards against an execution that continues, or starts, after the client closed the connection.
TEST_F(backend_test, a_closed_connection_cancels_its_request)
{
    make_group({.slots = 1, .service_time = unbounded_time, .fixed_service_time = true});
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

// Guards against connections or executions that survive a restart.
TEST_F(backend_test, restart_closes_connections_and_turns_cold)
{
    make_group(
        {.service_time = unbounded_time, .fixed_service_time = true, .cold_time = unbounded_time});
    ASSERT_EQ(control("cold", {{"ms", "0"}}), 200U);
    EXPECT_EQ(reported_load(first()), "inflight=0;queue=0;slots=2;state=serving");
    test::loopback_server server(context, handler, first().connections);
    test::tcp::socket caller(context);
    test::send_text(caller, server.acceptor.local_endpoint(),
                    "GET /orders HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    ASSERT_EQ(control("restart", {{"server", "service-1"}}), 200U);
    ASSERT_TRUE(run_until(context, [&] { return first().running == 0; }));
    EXPECT_EQ(reported_load(first()), "inflight=0;queue=0;slots=2;state=cold");
    char byte = 0;
    boost::system::error_code error;
    caller.receive(boost::asio::buffer(&byte, 1), 0, error);
    EXPECT_EQ(error, boost::asio::error::connection_reset);
}

// Guards against a control command that is accepted but does not change the server's mode.
TEST_F(backend_test, modes_change_the_responses)
{
    make_group({.service_time = milliseconds(0.0), .late_by = milliseconds(1.0)});
    EXPECT_EQ(get_response(context, handler, make_work_request()).status, 200U);
    ASSERT_EQ(control("drain"), 200U);
    const http_response drained = get_response(context, handler, make_work_request());
    EXPECT_EQ(test::header(drained, "X-Zinnia-Outcome"), "not-run");
    EXPECT_EQ(test::header(drained, "X-Zinnia-Load"), "inflight=0;queue=0;slots=2;state=draining");
    ASSERT_EQ(control("fail_fast"), 200U);
    EXPECT_EQ(get_response(context, handler, make_work_request()).status, 500U);
    ASSERT_EQ(control("late"), 200U);
    const auto before = backend_clock::now();
    EXPECT_EQ(
        get_response(context, handler, make_work_request({{"x-zinnia-deadline-ms", "5"}})).status,
        200U);
    EXPECT_GE(backend_clock::now() - before, std::chrono::milliseconds(6));
    ASSERT_EQ(control("normal"), 200U);
    EXPECT_EQ(get_response(context, handler, make_work_request()).status, 200U);
    EXPECT_EQ(first().counters.executions, 3U);
}

// Guards against requests that end before a test acts on them although the server was made slow.
TEST_F(backend_test, a_slow_server_takes_the_added_time)
{
    make_group({.service_time = milliseconds(0.0)});
    ASSERT_EQ(control("slow", {{"factor", "1"}, {"add_ms", "1000000000"}}), 200U);
    http_request request = make_work_request({{"x-zinnia-deadline-ms", "5"}});
    EXPECT_EQ(get_response(context, handler, request).status, 504U);
    ASSERT_EQ(control("normal"), 200U);
    EXPECT_EQ(get_response(context, handler, make_work_request()).status, 200U);
}

// Guards against answers that omit that the server leaves: health checks, rejections, and requests
// that were in progress when it began to leave; and against a later lifetime that still says so.
TEST_F(backend_test, says_in_every_answer_that_it_leaves_until_its_lifetime_ends)
{
    const auto leaving = [](const http_response& response)
    {
        return test::header(response, "X-Zinnia-Leaving");
    };
    make_group({.service_time = milliseconds(1.0), .fixed_service_time = true});
    const auto in_progress = test::start(context, handler, make_work_request());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    first().leaving = true;
    ASSERT_TRUE(run_until(context, [&] { return in_progress->has_value(); }));
    EXPECT_EQ((*in_progress)->status, 200U);
    EXPECT_EQ(leaving(**in_progress), "1");
    ASSERT_EQ(control("restart"), 200U);
    EXPECT_EQ(leaving(get_response(context, handler, make_work_request())), "");
    ASSERT_EQ(control("leave"), 200U);
    EXPECT_EQ(leaving(get_response(context, handler, make_request("GET", "/health"))), "1");
    ASSERT_EQ(control("drain"), 200U);
    EXPECT_EQ(leaving(get_response(context, handler, make_work_request())), "1");
}

// Guards against a pause that has no Retry-After, runs requests, affects health checks or does not
// end by its time or by a command.
TEST_F(backend_test, rejects_requests_with_retry_after_while_pausing)
{
    make_group({.service_time = milliseconds(0.0)});
    ASSERT_EQ(control("pause", {{"retry_after", "1.5"}}), 200U);
    const http_response rejected = get_response(context, handler, make_work_request());
    EXPECT_EQ(rejected.status, 503U);
    EXPECT_EQ(test::header(rejected, "Retry-After"), "1.5");
    EXPECT_EQ(test::header(rejected, "X-Zinnia-Outcome"), "not-run");
    EXPECT_EQ(get_response(context, handler, make_request("GET", "/health")).status, 200U);
    EXPECT_EQ(first().counters.executions, 0U);
    EXPECT_EQ(first().counters.while_pausing, 1U);
    ASSERT_EQ(control("normal"), 200U);
    EXPECT_EQ(get_response(context, handler, make_work_request()).status, 200U);
    ASSERT_EQ(control("pause", {{"retry_after", "2"}, {"ms", "0"}}), 200U);
    EXPECT_EQ(get_response(context, handler, make_work_request()).status, 200U);
}

// Guards against a new lifetime under another id that accepts requests for the old id.
TEST_F(backend_test, restarts_under_another_id)
{
    make_group({.count = 2, .service_time = milliseconds(0.0)});
    EXPECT_EQ(control("restart", {{"id", "other"}}), 400U);
    EXPECT_EQ(control("restart", {{"server", "service-1"}, {"id", "service-2"}}), 400U);
    EXPECT_EQ(first().lifetime, 1U);
    ASSERT_EQ(control("restart", {{"server", "service-1"}, {"id", "other"}}), 200U);
    EXPECT_EQ(first().lifetime, 2U);
    const auto status = [&](const char* id)
    {
        return get_response(context, handler, make_work_request({{"x-zinnia-expected-server", id}}))
            .status;
    };
    EXPECT_EQ(status("service-1"), 421U);
    EXPECT_EQ(status("other"), 200U);
}

// Guards against a load report that ignores the configured lag or bias.
TEST_F(backend_test, the_reported_load_can_lag_and_be_biased)
{
    const backend_options options{.service_time = unbounded_time, .fixed_service_time = true};
    backend_options lagging = options;
    lagging.report_lag = unbounded_time;
    make_group(lagging);
    const auto a = test::start(context, handler, make_work_request());
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    EXPECT_EQ(reported_load(first()), "inflight=0;queue=0;slots=2;state=serving");
    first().group->options.report_lag = milliseconds(0.0);
    first().group->options.report_bias = 3.0;
    EXPECT_EQ(reported_load(first()), "inflight=3;queue=0;slots=2;state=serving");
}

// Guards against an execution log without the fields that check_records compares.
TEST_F(backend_test, logs_each_execution_and_counts_key_headers)
{
    const std::string file = testing::TempDir() + "backend_test_log";
    std::remove(file.c_str());
    make_group({.service_time = milliseconds(0.0)}, file);
    http_request request = make_work_request({{"x-zinnia-request-id", "r1"},
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

// Guards against requests to the wrong server that are counted and not shown.
TEST_F(backend_test, the_counters_show_requests_addressed_to_another_server)
{
    make_group({.count = 2, .service_time = milliseconds(0.0)});
    const auto misdirected = make_work_request({{"x-zinnia-expected-server", "service-2"}});
    EXPECT_EQ(get_response(context, handler, misdirected).status, 421U);
    const http_response response = get_response(context, make_backend_control(*group),
                                                make_request("GET", "/control/counters"));
    const auto counters = boost::json::parse(response.body);
    ASSERT_TRUE(counters.as_object().contains("misdirected")) << response.body;
    EXPECT_EQ(counters.at("misdirected"), 1);
    EXPECT_EQ(counters.at("servers").at(0).at("misdirected"), 1);
    EXPECT_EQ(counters.at("servers").at(1).at("misdirected"), 0);
}

// Guards against an exchange log without the fields that check_records reads, or without a request
// whose connection closed before the answer.
TEST_F(backend_test, logs_each_received_request_with_what_its_answer_said)
{
    const std::string file = testing::TempDir() + "backend_test_exchanges";
    std::remove(file.c_str());
    make_group({.service_time = unbounded_time, .fixed_service_time = true}, "", file);
    ASSERT_EQ(control("leave"), 200U);
    test::loopback_server server(context, handler, first().connections);
    test::tcp::socket caller(context);
    test::send_text(caller, server.acceptor.local_endpoint(),
                    "GET /orders?id=c1 HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(run_until(context, [&] { return first().running == 1; }));
    ASSERT_EQ(control("restart", {{"server", "service-1"}, {"id", "other"}}), 200U);
    ASSERT_TRUE(run_until(context, [&] { return first().running == 0; }));
    ASSERT_EQ(control("pause", {{"retry_after", "0.5"}}), 200U);
    get_response(context, handler, make_work_request());
    get_response(context, handler, make_request("GET", "/health"));
    std::vector<boost::json::value> lines;
    std::string line;
    for (std::ifstream log(file); std::getline(log, line);)
    {
        lines.push_back(boost::json::parse(line));
    }
    std::remove(file.c_str());
    ASSERT_EQ(lines.size(), 3U);
    EXPECT_EQ(lines[0].at("caller_id"), "c1");
    EXPECT_EQ(lines[0].at("server"), "service-1");
    EXPECT_EQ(lines[0].at("lifetime"), 1);
    EXPECT_EQ(lines[0].at("status"), 0);
    EXPECT_EQ(lines[1].at("kind"), "work");
    EXPECT_EQ(lines[1].at("server"), "other");
    EXPECT_EQ(lines[1].at("lifetime"), 2);
    EXPECT_EQ(lines[1].at("status"), 503);
    EXPECT_EQ(lines[1].at("leaving"), false);
    EXPECT_EQ(lines[1].at("retry_after_s"), 0.5);
    EXPECT_LE(lines[1].at("received_us").as_int64(), lines[1].at("ended_us").as_int64());
    EXPECT_EQ(lines[2].at("kind"), "health_check");
}

// Guards against accepting the response to another request, or a truncated one, as the right one.
TEST(answer_test, detects_crossed_and_truncated_responses)
{
    const std::string body = make_response_body("r1", "orders-1", "/orders?id=1", 64);
    EXPECT_EQ(check_response_body(body, "/orders?id=1"), body_check::whole);
    EXPECT_EQ(check_response_body(body, "/orders?id=2"), body_check::crossed);
    EXPECT_EQ(check_response_body(body.substr(0, body.size() - 1), "/orders?id=1"),
              body_check::truncated);
    std::string shorter = body;
    shorter.erase(body.find("\"content\":\"") + 11, 8);
    EXPECT_EQ(check_response_body(shorter, "/orders?id=1"), body_check::truncated);
    EXPECT_EQ(check_response_body("", "/orders?id=1"), body_check::truncated);
    EXPECT_EQ(check_response_body(R"({"error": "shed"})", "/orders?id=1"), body_check::other_json);
}

} // namespace
} // namespace zinniaferry::stand_in
