#include "platform/http_profile.hpp"
#include "support/front_end.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

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

constexpr const char* id_line = "X-Zinniaferry-Request-Id: q1\r\n";
constexpr const char* signature_line = "X-Zinniaferry-Response-Signature: 1.2\r\n";

std::string answer(const std::string& head, const std::string& rest)
{
    return "HTTP/1.1 " + head + "\r\n" + rest;
}

const std::string good =
    answer("200 OK", std::string(id_line) + signature_line + "Content-Length: 5\r\n\r\nhello");

std::string request(const std::string& method = "GET", const std::string& path = "/open")
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: x\r\nX-Zinniaferry-Request-Id: q1\r\n"
           "X-Zinniaferry-Timeout-Remaining: 900\r\nAuthorization: Bearer secret-key\r\n"
           "Connection: close\r\nContent-Length: 0\r\n\r\n";
}

std::string ask(const std::string& server_answer, const std::string& message,
                std::string* forwarded = nullptr, bool close_after = false)
{
    raw_server server(server_answer, close_after);
    const front_end daemon(one_server_configuration(server.address()),
                           platform::make_http_profile());
    std::string out = daemon.exchange(message);
    if (forwarded != nullptr)
    {
        *forwarded = server.received();
    }
    return out;
}

// Guards against headers that a backend server needs, or must not see, under another name.
TEST(request_flow, a_request_is_forwarded_with_the_platforms_headers)
{
    std::string forwarded;
    const std::string out = ask(good, request("POST", "/keyed"), &forwarded);
    EXPECT_THAT(out, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(out, HasSubstr(signature_line));
    EXPECT_THAT(out, HasSubstr("\r\n\r\nhello"));
    EXPECT_THAT(forwarded, HasSubstr(id_line));
    EXPECT_THAT(forwarded, HasSubstr("X-Zinniaferry-Expect-Instance: s-1\r\n"));
    EXPECT_THAT(forwarded, HasSubstr("X-Zinniaferry-Tenant: a\r\n"));
    EXPECT_THAT(forwarded, Not(HasSubstr("secret-key")));
    EXPECT_THAT(forwarded, testing::ContainsRegex("X-Zinniaferry-Timeout-Remaining: 8[0-9][0-9]"));
}

struct bad_success
{
    const char* name;
    std::string bytes;
};

class bad_platform_answer : public testing::TestWithParam<bad_success>
{
};

// Guards against a success that is not the backend server's whole answer to this request.
TEST_P(bad_platform_answer, is_not_handed_on_as_a_success)
{
    const std::string out = ask(GetParam().bytes, request(), nullptr, true);
    EXPECT_THAT(out, StartsWith("HTTP/1.1 50")) << GetParam().name;
    EXPECT_THAT(out, Not(HasSubstr("Response-Signature")));
}

INSTANTIATE_TEST_SUITE_P(
    answers, bad_platform_answer,
    testing::Values(
        bad_success{"without_signature",
                    answer("200 OK", std::string(id_line) + "Content-Length: 5\r\n\r\nhello")},
        bad_success{"without_id", answer("200 OK", std::string(signature_line) +
                                                       "Content-Length: 5\r\n\r\nhello")},
        bad_success{"of_another_request",
                    answer("200 OK", std::string("X-Zinniaferry-Request-Id: q2\r\n") +
                                         signature_line + "Content-Length: 5\r\n\r\nhello")},
        bad_success{"encoded", answer("200 OK", std::string(id_line) + signature_line +
                                                    "Content-Encoding: gzip\r\n"
                                                    "Content-Length: 5\r\n\r\nhello")},
        bad_success{"cut", answer("200 OK", std::string(id_line) + signature_line +
                                                "Content-Length: 9\r\n\r\nhello")},
        bad_success{"no_http", "\x01\x02garbage\r\n\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against an answer without a length that is refused although it ended in good order.
TEST(request_flow, an_answer_may_end_with_its_connection)
{
    const std::string out =
        ask(answer("200 OK", std::string(id_line) + signature_line + "\r\nhello"), request(),
            nullptr, true);
    EXPECT_THAT(out, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(out, HasSubstr("\r\n\r\nhello"));
}

// Guards against a late answer to an earlier request that is taken for this one's, and against
// giving up the right answer that follows it.
TEST(request_flow, an_answer_to_another_request_is_skipped)
{
    const std::string stray = answer("200 OK", std::string("X-Zinniaferry-Request-Id: q0\r\n") +
                                                   signature_line + "Content-Length: 3\r\n\r\nold");
    const std::string out = ask(stray + good, request("POST", "/keyed"));
    EXPECT_THAT(out, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(out, HasSubstr("\r\n\r\nhello"));
}

// Guards against a refusal that is handed on with a promise although the request may have run, and
// against one that is not promised although no server ran it.
TEST(request_flow, statuses_promise_not_run_only_when_no_server_ran_the_request)
{
    const std::string refused =
        answer("503 Service Unavailable", std::string(id_line) + "X-Zinniaferry-Not-Executed: 1\r\n"
                                                                 "Content-Length: 0\r\n\r\n");
    const std::string not_run = ask(refused, request("POST", "/keyed"));
    EXPECT_THAT(not_run, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(not_run, HasSubstr("Retry-After: "));
    const std::string lost = ask("", request("POST", "/keyed"), nullptr, true);
    EXPECT_THAT(lost, StartsWith("HTTP/1.1 502 "));
    EXPECT_THAT(lost, Not(HasSubstr("Retry-After: ")));
}

// Guards against an error of a backend server that loses its status or its mark on the way.
TEST(request_flow, a_servers_error_is_handed_on_unchanged)
{
    const std::string error =
        answer("500 Internal Server Error",
               std::string(id_line) + signature_line + "Content-Length: 3\r\n\r\nbad");
    const std::string out = ask(error, request("POST", "/keyed"));
    EXPECT_THAT(out, StartsWith("HTTP/1.1 500 "));
    EXPECT_THAT(out, HasSubstr(signature_line));
    EXPECT_THAT(out, HasSubstr("\r\n\r\nbad"));
}

// Guards against a body that the parser leaves behind and that is read as a request of its own.
TEST(request_flow, a_request_that_cannot_be_framed_closes_the_connection)
{
    std::string forwarded;
    const std::string out =
        ask(good, "POST /open HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n" + request(),
            &forwarded);
    EXPECT_THAT(out, StartsWith("HTTP/1.1 400 "));
    EXPECT_THAT(out, HasSubstr("Connection: close"));
    EXPECT_EQ(forwarded, "");
}

// Guards against a daemon that ends, or sends the request all the same, when its route is dropped
// while a server is being chosen.
TEST(request_flow, a_route_that_is_dropped_while_a_server_is_chosen_is_unknown)
{
    raw_server server(good);
    const std::string with_route = one_server_configuration(server.address());
    front_end daemon(with_route, platform::make_http_profile());
    const auto drop_route = [&](caller_sessions& sessions, asio::ip::tcp::acceptor&)
    {
        auto config = std::make_shared<config::configuration>(
            config::read_configuration(with_route, "test").value());
        config->version = 2;
        std::erase_if(config->routes,
                      [](const config::route& route) { return route.prefix == "/open"; });
        net::apply_configuration(sessions.gateway, config, core::elapsed_now());
    };
    server.on_health_check([&] { daemon.run_on_io_thread(drop_route); });
    EXPECT_THAT(daemon.exchange(request()), StartsWith("HTTP/1.1 404 "));
    EXPECT_THAT(server.received(), testing::IsEmpty());
}

} // namespace
} // namespace zinniaferry::net
