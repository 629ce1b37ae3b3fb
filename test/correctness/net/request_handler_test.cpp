#include "platform/http_profile.hpp"
#include "support/front_end.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <ctime>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;
using test_support::front_end;
using test_support::one_server_configuration;
using test_support::raw_server;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

constexpr const char* request_id_line = "X-Zinniaferry-Request-Id: q1\r\n";
constexpr const char* signature_line = "X-Zinniaferry-Response-Signature: 1.2\r\n";

std::string response_text(const std::string& head, const std::string& rest)
{
    return "HTTP/1.1 " + head + "\r\n" + rest;
}

const std::string good_response = response_text(
    "200 OK", std::string(request_id_line) + signature_line + "Content-Length: 5\r\n\r\nhello");

std::string request(const std::string& method = "GET", const std::string& path = "/open")
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: x\r\nX-Zinniaferry-Request-Id: q1\r\n"
           "X-Zinniaferry-Timeout-Remaining: 900\r\nAuthorization: Bearer secret-key\r\n"
           "Connection: close\r\nContent-Length: 0\r\n\r\n";
}

std::string exchange_with(const std::string& server_response, const std::string& message,
                          std::string* forwarded = nullptr, bool close_after = false)
{
    raw_server server(server_response, close_after);
    const front_end daemon(one_server_configuration(server.address()),
                           platform::make_http_profile());
    std::string out = daemon.exchange(message);
    if (forwarded != nullptr)
    {
        *forwarded = server.received();
    }
    return out;
}

// Guards against forwarding headers under names that the platform's backend servers do not know,
// and against forwarding the caller's key under the platform's name for it.
TEST(request_handler, a_request_is_forwarded_with_the_platforms_headers)
{
    std::string forwarded;
    const std::string out = exchange_with(good_response, request("POST", "/keyed"), &forwarded);
    EXPECT_THAT(out, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(out, HasSubstr(signature_line));
    EXPECT_THAT(out, HasSubstr("\r\n\r\nhello"));
    EXPECT_THAT(forwarded, HasSubstr(request_id_line));
    EXPECT_THAT(forwarded, HasSubstr("X-Zinniaferry-Expect-Instance: s-1\r\n"));
    EXPECT_THAT(forwarded, HasSubstr("X-Zinniaferry-Tenant: a\r\n"));
    EXPECT_THAT(forwarded, Not(HasSubstr("secret-key")));
    EXPECT_THAT(forwarded, testing::ContainsRegex("X-Zinniaferry-Timeout-Remaining: 8[0-9][0-9]"));
}

struct invalid_success
{
    const char* name;
    std::string bytes;
};

class invalid_platform_response : public testing::TestWithParam<invalid_success>
{
};

// Guards against a 2xx response that is forwarded although it is incomplete, encoded, not the
// backend server's own or for another request.
TEST_P(invalid_platform_response, is_not_forwarded_as_a_success)
{
    const std::string out = exchange_with(GetParam().bytes, request(), nullptr, true);
    EXPECT_THAT(out, StartsWith("HTTP/1.1 50")) << GetParam().name;
    EXPECT_THAT(out, Not(HasSubstr("Response-Signature")));
}

INSTANTIATE_TEST_SUITE_P(
    responses, invalid_platform_response,
    testing::Values(
        invalid_success{"without_signature",
                        response_text("200 OK", std::string(request_id_line) +
                                                    "Content-Length: 5\r\n\r\nhello")},
        invalid_success{"without_id",
                        response_text("200 OK", std::string(signature_line) +
                                                    "Content-Length: 5\r\n\r\nhello")},
        invalid_success{"of_another_request",
                        response_text("200 OK", std::string("X-Zinniaferry-Request-Id: q2\r\n") +
                                                    signature_line +
                                                    "Content-Length: 5\r\n\r\nhello")},
        invalid_success{"encoded",
                        response_text("200 OK", std::string(request_id_line) + signature_line +
                                                    "Content-Encoding: gzip\r\n"
                                                    "Content-Length: 5\r\n\r\nhello")},
        invalid_success{"cut",
                        response_text("200 OK", std::string(request_id_line) + signature_line +
                                                    "Content-Length: 9\r\n\r\nhello")},
        invalid_success{"no_http", "\x01\x02garbage\r\n\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against refusing a response without a length that an orderly close of the connection
// ended.
TEST(request_handler, a_response_may_end_with_its_connection)
{
    const std::string out = exchange_with(
        response_text("200 OK", std::string(request_id_line) + signature_line + "\r\nhello"),
        request(), nullptr, true);
    EXPECT_THAT(out, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(out, HasSubstr("\r\n\r\nhello"));
}

// Guards against a response that looks complete although the daemon ended while it was written: the
// caller must know the length of one that came without.
TEST(request_handler, a_response_states_its_length_to_the_caller)
{
    const std::string out = exchange_with(
        response_text("200 OK", std::string(request_id_line) + signature_line + "\r\nhello"),
        request(), nullptr, true);
    EXPECT_THAT(out, HasSubstr("\r\nContent-Length: 5\r\n"));
    const std::string to_head = exchange_with(
        response_text("200 OK", std::string(request_id_line) + signature_line + "\r\n"),
        request("HEAD"), nullptr, true);
    EXPECT_THAT(to_head, Not(HasSubstr("Content-Length")));
}

// Guards against bytes that belong to no response: the header of a response without a body may
// state the chunked coding, and the daemon wrote the last chunk of an empty body after it.
TEST(request_handler, nothing_follows_the_header_of_a_response_without_a_body)
{
    const std::string chunked_header =
        std::string(request_id_line) + signature_line + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string method : {"HEAD", "GET"})
    {
        const std::string status = method == "HEAD" ? "200 OK" : "304 Not Modified";
        raw_server server(
            [&](const std::string& received)
            {
                return received.starts_with("DELETE ") ? good_response
                                                       : response_text(status, chunked_header);
            });
        const front_end daemon(one_server_configuration(server.address()),
                               platform::make_http_profile());
        // Without a key, so that no account's limit applies.
        const std::string first =
            method + " /open HTTP/1.1\r\nHost: x\r\n" + request_id_line + "\r\n";
        const std::string second = "DELETE /open HTTP/1.1\r\nHost: x\r\n" +
                                   std::string(request_id_line) + "Connection: close\r\n\r\n";
        const std::string out = daemon.exchange(first + second);
        const std::size_t end_of_first = out.find("\r\n\r\n");
        ASSERT_NE(end_of_first, std::string::npos) << method;
        EXPECT_THAT(out.substr(end_of_first + 4), StartsWith("HTTP/1.1 200 ")) << method;
        EXPECT_THAT(out, HasSubstr("\r\n\r\nhello")) << method;
    }
}

// Guards against taking a late response to an earlier request for the response to this one, and
// against discarding the right response that follows it.
TEST(request_handler, a_response_to_another_request_is_skipped)
{
    const std::string stray =
        response_text("200 OK", std::string("X-Zinniaferry-Request-Id: q0\r\n") + signature_line +
                                    "Content-Length: 3\r\n\r\nold");
    const std::string out = exchange_with(stray + good_response, request("POST", "/keyed"));
    EXPECT_THAT(out, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(out, HasSubstr("\r\n\r\nhello"));
}

// Guards against a 503 with Retry-After, which promises that no server has run the request, for a
// request that may have run, and against another response when no server has run it.
TEST(request_handler, statuses_promise_not_run_only_when_no_server_ran_the_request)
{
    const std::string refused =
        response_text("503 Service Unavailable", std::string(request_id_line) +
                                                     "X-Zinniaferry-Not-Executed: 1\r\n"
                                                     "Content-Length: 0\r\n\r\n");
    const std::string not_run = exchange_with(refused, request("POST", "/keyed"));
    EXPECT_THAT(not_run, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(not_run, HasSubstr("Retry-After: "));
    const std::string lost = exchange_with("", request("POST", "/keyed"), nullptr, true);
    EXPECT_THAT(lost, StartsWith("HTTP/1.1 502 "));
    EXPECT_THAT(lost, Not(HasSubstr("Retry-After: ")));
}

// Guards against a backend server's error response that loses its status, signature or body.
TEST(request_handler, a_servers_error_response_is_forwarded_unchanged)
{
    const std::string error =
        response_text("500 Internal Server Error", std::string(request_id_line) + signature_line +
                                                       "Content-Length: 3\r\n\r\nbad");
    const std::string out = exchange_with(error, request("POST", "/keyed"));
    EXPECT_THAT(out, StartsWith("HTTP/1.1 500 "));
    EXPECT_THAT(out, HasSubstr(signature_line));
    EXPECT_THAT(out, HasSubstr("\r\n\r\nbad"));
}

// Guards against request smuggling: the parser does not consume a body with an unknown transfer
// coding, and would parse it as the next request.
TEST(request_handler, a_request_that_cannot_be_framed_closes_the_connection)
{
    std::string forwarded;
    const std::string out = exchange_with(
        good_response,
        "POST /open HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n" + request(),
        &forwarded);
    EXPECT_THAT(out, StartsWith("HTTP/1.1 400 "));
    EXPECT_THAT(out, HasSubstr("Connection: close"));
    EXPECT_EQ(forwarded, "");
}

// Guards against a crash, or a request sent nevertheless, when a new configuration drops the
// request's route while a server is being selected.
TEST(request_handler, a_route_that_is_dropped_while_a_server_is_chosen_is_unknown)
{
    raw_server server(good_response);
    const std::string configuration = one_server_configuration(server.address());
    front_end daemon(configuration, platform::make_http_profile());
    const auto drop_route = [&](caller_sessions& sessions, asio::ip::tcp::acceptor&)
    {
        auto config = std::make_shared<config::configuration>(
            config::read_configuration(configuration, "test").value());
        config->version = 2;
        std::erase_if(config->routes,
                      [](const config::route& route) { return route.prefix == "/open"; });
        net::apply_configuration(sessions.gateway, config, core::boot_clock_now());
    };
    server.on_health_check([&] { daemon.run_on_io_thread(drop_route); });
    EXPECT_THAT(daemon.exchange(request()), StartsWith("HTTP/1.1 404 "));
    EXPECT_THAT(server.received(), testing::IsEmpty());
}

// Guards against refusing proper requests as unknown (DENIED): a daemon behind a full link answered
// 404 and 401 for routes and keys of a configuration that had not reached it.
TEST(request_handler, an_outdated_configuration_does_not_refuse_a_request_as_unknown)
{
    raw_server server(good_response);
    front_end daemon(one_server_configuration(server.address()), platform::make_http_profile());
    daemon.run_on_io_thread(
        [](caller_sessions& sessions, asio::ip::tcp::acceptor&)
        { sessions.gateway.configuration_current_as_of = core::boot_clock_now() - 3s; });
    const std::string unknown_key = "GET /keyed HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                    "guess\r\nConnection: close\r\n\r\n";
    for (const std::string& message : {request("GET", "/nowhere"), unknown_key})
    {
        const std::string out = daemon.exchange(message);
        EXPECT_THAT(out, StartsWith("HTTP/1.1 503 ")) << message;
        EXPECT_THAT(out, HasSubstr("Retry-After: ")) << message;
    }
    EXPECT_THAT(daemon.exchange(request()), StartsWith("HTTP/1.1 200 "))
        << "what the configuration allows is still served";
}

// Processor time that the listener's thread has taken.
core::duration thread_time(front_end& daemon)
{
    timespec time{};
    daemon.run_on_io_thread([&](caller_sessions&, asio::ip::tcp::acceptor&)
                            { ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time); });
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Guards against a request that takes a processor until its response comes, because its time for a
// second server has come and there are no retries left.
TEST(request_handler, a_request_that_may_not_be_hedged_yet_waits_without_work)
{
    raw_server server(
        [](const std::string&)
        {
            std::this_thread::sleep_for(800ms);
            return good_response;
        });
    front_end daemon(one_server_configuration(server.address()), platform::make_http_profile());
    daemon.run_on_io_thread(
        [](caller_sessions& sessions, asio::ip::tcp::acceptor&)
        {
            sessions.gateway.retry_budget.options.ratio = 0.0;
            sessions.gateway.retry_budget.tokens["s"] = 0.0;
        });
    const core::duration before = thread_time(daemon);
    EXPECT_THAT(daemon.exchange(request()), StartsWith("HTTP/1.1 200 "));
    EXPECT_LT(thread_time(daemon) - before, 200ms);
}

// Guards against a connection that ends without a response: a TRACE request has no body, and one
// with a body cannot be forwarded.
TEST(request_handler, a_trace_request_with_a_body_is_refused)
{
    raw_server server(good_response);
    const front_end daemon(one_server_configuration(server.address()),
                           platform::make_http_profile());
    const std::string message = "TRACE /open HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";
    EXPECT_THAT(daemon.exchange(message), StartsWith("HTTP/1.1 400 "));
    EXPECT_THAT(server.received(), testing::IsEmpty());
    EXPECT_THAT(daemon.exchange(request("TRACE")), StartsWith("HTTP/1.1 200 "));
}

} // namespace
} // namespace zinniaferry::net
