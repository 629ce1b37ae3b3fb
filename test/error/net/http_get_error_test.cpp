#include "net/http_get.hpp"

#include "net/operator_commands.hpp"
#include "support/canned_server.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using reason = http_error::reason;

// Returns the reason for which the GET fails, or nothing if it succeeds or fails otherwise.
std::optional<reason> reason_of(const http_get_options& options)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::optional<reason>>
        {
            BOOST_LEAF_CHECK(http_get(options));
            return std::optional<reason>();
        },
        [](const http_error& error) { return std::optional<reason>(error.why); },
        [] { return std::optional<reason>(); });
}

std::string unused_address()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context,
                                                  {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Guards against a truncated, malformed or oversized response that is taken for a complete one, and
// against a wrong reason in the error.
TEST(http_get_error, reports_why_there_is_no_complete_response)
{
    test::canned_server server({{"/cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
                                {"/wrong", "SSH-2.0-OpenSSH\r\n\r\n"},
                                {"/large", test::http_response_text("123456789")}},
                               3);
    EXPECT_EQ(reason_of({.address = "localhost:80", .target = "/"}), reason::bad_address);
    EXPECT_EQ(reason_of({.address = unused_address(), .target = "/"}), reason::unreachable);
    EXPECT_EQ(reason_of({.address = server.address(), .target = "/cut"}), reason::unreachable);
    EXPECT_EQ(reason_of({.address = server.address(), .target = "/wrong"}), reason::malformed);
    EXPECT_EQ(reason_of({.address = server.address(), .target = "/large", .max_body_bytes = 8}),
              reason::too_large);
}

// Guards against a command that hangs because a daemon accepts the connection and never responds.
TEST(http_get_error, times_out_when_no_response_arrives)
{
    test::canned_server server({{"/silent", ""}}, 1);
    EXPECT_EQ(reason_of({.address = server.address(),
                         .target = "/silent",
                         .timeout = std::chrono::milliseconds(30)}),
              reason::timeout);
}

// Guards against exit code 0 if a daemon refuses the credential or is unreachable, and against
// confusing either with invalid input.
TEST(http_get_error, commands_exit_with_the_stated_codes)
{
    test::canned_server server({{"/state", test::http_response_text("{}", "401 Unauthorized")},
                                {"/state", test::http_response_text("{}", "401 Unauthorized")}},
                               2);
    EXPECT_EQ(run_state(server.address(), {}).exit_code, exit_difference);
    const std::string unused_port_address = unused_address();
    const command_result fleet = run_fleet({unused_port_address, server.address()}, {});
    EXPECT_EQ(fleet.exit_code, exit_difference);
    EXPECT_THAT(fleet.output, testing::HasSubstr("unreachable"));
    EXPECT_THAT(fleet.output, testing::HasSubstr("found 401"));
    EXPECT_EQ(run_state(unused_port_address, {}).exit_code, exit_difference);
    EXPECT_EQ(run_state("here", {}).exit_code, exit_invalid_input);
    EXPECT_EQ(run_fleet({unused_port_address, "here"}, {}).exit_code, exit_invalid_input);
}

// Guards against showing counters as 0 that a daemon of another release does not report.
TEST(http_get_error, fleet_names_a_counter_that_is_missing)
{
    test::canned_server server(
        {{"/state", test::http_response_text(R"({"configuration_version":7,"members":3})")}}, 1);
    const command_result fleet = run_fleet({server.address()}, {});
    EXPECT_EQ(fleet.exit_code, exit_difference);
    EXPECT_THAT(fleet.output, testing::HasSubstr("/state: $.requests: found nothing"));
}

} // namespace
} // namespace zinniaferry::net
