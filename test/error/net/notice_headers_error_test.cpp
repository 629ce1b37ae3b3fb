#include "net/notice_headers.hpp"

#include "support/front_end.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;

http::response_header<> busy_response()
{
    http::response_header<> out;
    out.result(http::status::service_unavailable);
    return out;
}

class bad_notice : public testing::TestWithParam<const char*>
{
};

// Guards against a server that is taken out of service, or a daemon that fails, because of a value
// that means nothing.
TEST_P(bad_notice, is_ignored_and_reported)
{
    http::response_header<> response = busy_response();
    response.set(http::field::retry_after, GetParam());
    response.set("X-Zinnia-Leaving", GetParam());
    const parsed_notice parsed = parse_notice(response, {});
    EXPECT_FALSE(parsed.notice.retry_after);
    EXPECT_FALSE(parsed.notice.leaving);
    ASSERT_EQ(parsed.ignored.size(), 2U);
    EXPECT_EQ(parsed.ignored.back().name, "Retry-After");
    EXPECT_EQ(parsed.ignored.back().value, GetParam());
}

INSTANTIATE_TEST_SUITE_P(values, bad_notice,
                         testing::Values("", "soon", "-1", "-0.5", "inf", "nan", "1e999", "1s",
                                         "1, 2", "+1", "Sat, 05 Dec 2026 00:00:00 GMT"));

// Guards against choosing one of several values that contradict each other.
TEST(notice_headers, repeated_headers_are_ignored)
{
    http::response_header<> response = busy_response();
    for (int i = 0; i < 2; ++i)
    {
        response.insert(http::field::retry_after, "1");
        response.insert("X-Zinnia-Leaving", "1");
    }
    const parsed_notice parsed = parse_notice(response, {});
    EXPECT_FALSE(parsed.notice.retry_after || parsed.notice.leaving);
    EXPECT_EQ(parsed.ignored.size(), 2U);
}

// Guards against losing fractions, against an overflow, and against a Retry-After that another
// status states for callers.
TEST(notice_headers, valid_values_are_read)
{
    http::response_header<> response = busy_response();
    response.set(http::field::retry_after, "0.25");
    EXPECT_EQ(parse_notice(response, {}).notice.retry_after, 250ms);
    response.set(http::field::retry_after, "1e300");
    EXPECT_GT(parse_notice(response, {}).notice.retry_after, 1h);
    response.result(http::status::too_many_requests);
    EXPECT_FALSE(parse_notice(response, {}).notice.retry_after);
}

// Guards against taking the notice of another server at the address for one of the expected server.
TEST(notice_headers, a_notice_of_another_server_does_not_count)
{
    for (const char* head : {"421 Other\r\n", "200 OK\r\nX-Zinnia-Server-Id: other\r\n"})
    {
        test_support::raw_server server("HTTP/1.1 " + std::string(head) +
                                        "X-Zinnia-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
        test_support::front_end daemon(test_support::one_server_configuration(server.address()));
        daemon.exchange("GET /open HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        EXPECT_NE(server.received(), "");
        daemon.run_on_io_thread([](caller_sessions& sessions, asio::ip::tcp::acceptor&)
                                { EXPECT_TRUE(sessions.gateway.backends.notices.by_id.empty()); });
    }
}

} // namespace
} // namespace zinniaferry::net
