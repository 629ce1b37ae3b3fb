#include "support/front_end.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;
using test_support::front_end;
using test_support::one_server_configuration;
using test_support::raw_server;

const std::string complete_response = "HTTP/1.1 200 OK\r\n" +
                                      std::string(test_support::healthy_load_header) +
                                      "Content-Length: 5\r\n\r\nhello";

struct bad_request
{
    const char* name;
    std::string bytes;
    unsigned status;
    const char* error;
};

std::string long_header()
{
    return "GET /open HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(64 * 1024, 'a') + "\r\n\r\n";
}

const std::vector<bad_request>& bad_requests()
{
    static const std::vector<bad_request> cases = {
        {"conflicting_lengths",
         "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         400, "bad_request"},
        {"repeated_lengths",
         "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400,
         "bad_request"},
        {"length_and_chunks",
         "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
         400, "bad_request"},
        {"repeated_transfer_encoding",
         "POST /open HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         400, "bad_request"},
        {"unknown_transfer_encoding",
         "POST /open HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nabc", 400,
         "bad_request"},
        {"bare_line_feeds", "GET /open HTTP/1.1\nHost: x\n\n", 400, "bad_request"},
        {"bare_line_feed_in_header", "GET /open HTTP/1.1\r\nHost: x\nX-A: b\r\n\r\n", 400,
         "bad_request"},
        {"space_before_colon", "GET /open HTTP/1.1\r\nHost : x\r\n\r\n", 400, "bad_request"},
        {"negative_length", "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", 400,
         "bad_request"},
        {"oversized_header", long_header(), 431, "headers_too_large"},
        {"oversized_body", "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\nabc",
         413, "body_too_large"},
        {"absolute_target", "GET http://other/open HTTP/1.1\r\nHost: x\r\n\r\n", 400,
         "bad_request"},
        {"two_keys",
         "GET /keyed HTTP/1.1\r\nHost: x\r\nX-Zinnia-Key: secret-key\r\nX-Zinnia-Key: b\r\n\r\n",
         400, "bad_request"},
        {"malformed_deadline",
         "GET /open HTTP/1.1\r\nHost: x\r\nX-Zinnia-Deadline-Ms: soon\r\n\r\n", 400, "bad_request"},
        {"expired_deadline", "GET /open HTTP/1.1\r\nHost: x\r\nX-Zinnia-Deadline-Ms: 0\r\n\r\n",
         503, "expired"},
        {"unknown_key", "GET /keyed HTTP/1.1\r\nHost: x\r\nX-Zinnia-Key: guess\r\n\r\n", 401,
         "unknown_key"},
        {"missing_key", "GET /keyed HTTP/1.1\r\nHost: x\r\n\r\n", 401, "unknown_key"},
        {"unknown_route", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 404, "unknown_route"},
        {"not_http", "hello there\r\n\r\n", 400, "bad_request"},
    };
    return cases;
}

class bad_input : public testing::TestWithParam<bad_request>
{
};

// Guards against a malformed request that is forwarded with a different meaning, crashes the daemon
// or gets no typed error.
TEST_P(bad_input, is_refused_with_a_typed_error_and_not_forwarded)
{
    raw_server server(complete_response);
    const front_end daemon(one_server_configuration(server.address()));
    const std::string response = daemon.exchange(GetParam().bytes, true);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 " + std::to_string(GetParam().status) + " "))
        << response;
    const std::size_t body = response.find("\r\n\r\n");
    ASSERT_NE(body, std::string::npos);
    const boost::json::value parsed = boost::json::parse(response.substr(body + 4));
    EXPECT_EQ(parsed.at("error").as_string(), GetParam().error);
    EXPECT_EQ(parsed.at("outcome").as_string(), "not_run");
    EXPECT_EQ(server.received(), "");
}

// Guards against refusals that are missing in the metrics. A request that cannot be parsed never
// reaches request_handler, which counts the others.
TEST_P(bad_input, is_counted_by_its_error)
{
    raw_server server(complete_response);
    front_end daemon(one_server_configuration(server.address()));
    const std::uint64_t before = daemon.refusals(GetParam().error);
    daemon.exchange(GetParam().bytes, true);
    EXPECT_EQ(daemon.refusals(GetParam().error), before + 1);
}

INSTANTIATE_TEST_SUITE_P(requests, bad_input, testing::ValuesIn(bad_requests()),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a connection that stays open forever because its request is never completed.
TEST(bad_input_time, a_half_sent_request_ends_with_408)
{
    raw_server server(complete_response);
    const front_end daemon(one_server_configuration(server.address()), {},
                           config::caller_limits{.header_timeout = 200ms});
    const std::string response =
        daemon.exchange("POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 408 ")) << response;
    EXPECT_EQ(server.received(), "");
}

struct bad_response
{
    const char* name;
    std::string bytes;
};

class bad_server_response : public testing::TestWithParam<bad_response>
{
};

// Guards against a truncated or ambiguous response that looks complete to the caller (R6).
TEST_P(bad_server_response, never_looks_complete)
{
    raw_server server(GetParam().bytes, true);
    const front_end daemon(one_server_configuration(server.address()));
    const std::string response = daemon.exchange("GET /open HTTP/1.1\r\nHost: x\r\n"
                                                 "Connection: close\r\n\r\n");
    EXPECT_FALSE(response.starts_with("HTTP/1.1 200 ")) << response;
    EXPECT_TRUE(response.starts_with("HTTP/1.1 50")) << response;
    EXPECT_NE(response.find("\"outcome\":\"unknown\""), std::string::npos) << response;
    EXPECT_NE(server.received(), "");
}

INSTANTIATE_TEST_SUITE_P(
    responses, bad_server_response,
    testing::Values(
        bad_response{"truncated_body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello"},
        bad_response{"no_length", "HTTP/1.1 200 OK\r\n\r\nhello"},
        bad_response{"truncated_chunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
        bad_response{"truncated_header", "HTTP/1.1 200 OK\r\nContent-Le"},
        bad_response{"conflicting_lengths",
                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello"},
        bad_response{"closed_at_once", ""}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a key, or a header that the caller names in Connection, that reaches a backend
// server, and against a caller that sets the daemon's own headers (R4).
TEST(forwarding, removes_the_key_and_the_callers_own_zinnia_headers)
{
    raw_server server(complete_response);
    const front_end daemon(one_server_configuration(server.address()));
    const std::string response =
        daemon.exchange("POST /keyed HTTP/1.1\r\nHost: x\r\nX-Zinnia-Key: secret-key\r\n"
                        "X-Zinnia-Account: other\r\nConnection: close, X-Private\r\n"
                        "X-Private: 1\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << response;
    const std::string forwarded = server.received();
    EXPECT_EQ(forwarded.find("secret-key"), std::string::npos) << forwarded;
    EXPECT_EQ(forwarded.find("X-Private"), std::string::npos) << forwarded;
    EXPECT_EQ(forwarded.find("other"), std::string::npos) << forwarded;
    EXPECT_NE(forwarded.find("X-Zinnia-Account: a\r\n"), std::string::npos) << forwarded;
    EXPECT_NE(forwarded.find("\r\n\r\nhi"), std::string::npos) << forwarded;
}

// Guards against sending a non-idempotent request again after its connection was lost (R8). The
// server may have run it, so it must receive it only once and the outcome is unknown.
TEST(forwarding, never_repeats_a_lost_non_idempotent_request)
{
    raw_server server("", true);
    const front_end daemon(one_server_configuration(server.address()));
    const std::string response =
        daemon.exchange("POST /keyed HTTP/1.1\r\nHost: x\r\nX-Zinnia-Key: secret-key\r\n"
                        "Connection: close\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502 ")) << response;
    EXPECT_NE(response.find("\"outcome\":\"unknown\""), std::string::npos) << response;
    const std::string forwarded = server.received();
    EXPECT_EQ(forwarded.find("POST "), forwarded.rfind("POST ")) << forwarded;
    EXPECT_NE(forwarded.find("POST "), std::string::npos) << forwarded;
}

} // namespace
} // namespace zinniaferry::net
