/// Guards against a wrong outcome of a request whose server or connection goes away meanwhile.
#include "platform/http_profile.hpp"
#include "support/front_end.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using test_support::front_end;
using test_support::one_server_configuration;
using test_support::raw_server;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

constexpr const char* request =
    "POST /keyed HTTP/1.1\r\nHost: x\r\nX-Zinniaferry-Request-Id: q1\r\n"
    "X-Zinniaferry-Timeout-Remaining: 900\r\n"
    "Authorization: Bearer secret-key\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string response_head =
    "HTTP/1.1 200 OK\r\nX-Zinniaferry-Request-Id: q1\r\nX-Zinniaferry-Response-Signature: 1.2\r\n";

// Guards against a response without a length that a reset has cut short and that reaches the caller
// as a complete one, and against sending the request, which ran, once more.
TEST(interrupted_exchange, a_response_that_ends_with_a_reset_is_no_success)
{
    raw_server server(response_head + "\r\nhalf of the bo", true);
    server.reset_connections();
    const front_end daemon(one_server_configuration(server.address()),
                           platform::make_http_profile());
    const std::string response = daemon.exchange(request);
    EXPECT_THAT(response, StartsWith("HTTP/1.1 502 "));
    EXPECT_THAT(response, Not(HasSubstr("half")));
    EXPECT_THAT(response, Not(HasSubstr("Retry-After")));
    EXPECT_EQ(server.received().find("POST"), server.received().rfind("POST"));
}

// Guards against giving up the running request of a server whose listing lapses, as it does when
// the server is only slow to report.
TEST(interrupted_exchange, a_request_survives_the_end_of_its_servers_listing)
{
    front_end* daemon = nullptr;
    raw_server server(
        [&daemon](const std::string&)
        {
            daemon->run_on_io_thread([](caller_sessions& sessions, asio::ip::tcp::acceptor&)
                                     { remove_server(sessions.gateway, "s-1"); });
            return response_head + "Content-Length: 5\r\n\r\nhello";
        });
    front_end started(one_server_configuration(server.address()), platform::make_http_profile());
    daemon = &started;
    const std::string response = started.exchange(request);
    EXPECT_THAT(response, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(response, HasSubstr("\r\n\r\nhello"));
    EXPECT_EQ(server.received().find("POST"), server.received().rfind("POST"));
}

} // namespace
} // namespace zinniaferry::net
