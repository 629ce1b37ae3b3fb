#include "stand_in/backend.hpp"
#include "stand_in/platform.hpp"
#include "stand_in/program.hpp"

#include "support/loopback.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::stand_in
{
namespace
{

template <class Call>
std::string error_of(Call call)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::string>
        {
            BOOST_LEAF_CHECK(call());
            return std::string("no error");
        },
        [](const address_error& error) { return to_string(error); },
        [](const core::document_error& error) { return error.path; },
        [](const core::file_error& error) { return error.file; },
        [] { return std::string("untyped error"); });
}

// Guards against accepting an invalid address and listening or connecting elsewhere.
TEST(stand_in_error, rejects_addresses_that_are_not_ip_and_port)
{
    EXPECT_EQ(error_of([] { return parse_endpoint("127.0.0.1"); }), "127.0.0.1: expected IP:PORT");
    EXPECT_EQ(error_of([] { return parse_endpoint("localhost:80"); }),
              "localhost:80: expected an IP address before the colon");
    EXPECT_EQ(error_of([] { return parse_endpoint("127.0.0.1:70000"); }),
              "127.0.0.1:70000: expected a port from 0 to 65535");
    EXPECT_EQ(error_of([] { return parse_endpoint("[::1]:80"); }), "no error");
}

// Guards against opening a second listener on a port that is in use, and against an error that does
// not state this reason.
TEST(stand_in_error, reports_an_address_in_use)
{
    boost::asio::io_context context;
    const test::tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
    const test::tcp::acceptor first(context, any_port, false);
    const auto error =
        error_of([&] { return open_listener(context.get_executor(), first.local_endpoint()); });
    EXPECT_NE(error.find("in use"), std::string::npos) << error;
}

// Guards against an invalid document that replaces the published configuration.
TEST(stand_in_error, an_invalid_document_changes_nothing)
{
    platform_state state;
    ASSERT_TRUE(publish_configuration(state, R"({"version": 3})"));
    EXPECT_EQ(error_of([&] { return publish_configuration(state, R"({"version": "x"})"); }),
              "$.version");
    EXPECT_EQ(error_of([&] { return publish_configuration(state, "[]"); }), "$");
    EXPECT_EQ(state.configuration.version, 3U);
}

// Guards against an error about a file that does not name the file.
TEST(stand_in_error, names_files_that_cannot_be_opened)
{
    EXPECT_EQ(error_of([] { return read_file("/nonexistent/file"); }), "/nonexistent/file");
    EXPECT_EQ(error_of([] { return make_backend_group({}, "/nonexistent/log"); }),
              "/nonexistent/log");
    EXPECT_EQ(error_of([] { return make_backend_group({}, "", "/nonexistent/exchanges"); }),
              "/nonexistent/exchanges");
}

// Guards against accepting a misspelt command, which a test would take as applied.
TEST(stand_in_error, rejects_unknown_commands_servers_and_modes)
{
    boost::asio::io_context context;
    auto group = make_backend_group({}, "");
    ASSERT_TRUE(group);
    const http_handler control = make_backend_control(**group);
    const auto status = [&](const http_handler& handler, const char* path,
                            std::map<std::string, std::string, std::less<>> query)
    {
        return test::get_response(context, handler, test::make_request("POST", path, query)).status;
    };
    EXPECT_EQ(status(control, "/control/slwo", {}), 404U);
    EXPECT_EQ(status(control, "/control/slow", {{"server", "service-9"}}), 404U);
    EXPECT_EQ(status(control, "/control/pause", {}), 400U);
    EXPECT_EQ(status(control, "/control/pause", {{"retry_after", "soon"}}), 400U);
    platform_state state;
    const http_handler handler = make_platform_handler(state);
    EXPECT_EQ(status(handler, "/control/mode", {{"mode", "off"}}), 400U);
    EXPECT_EQ(status(handler, "/control/mdoe", {}), 404U);
}

} // namespace
} // namespace zinniaferry::stand_in
