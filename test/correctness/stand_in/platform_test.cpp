#include "stand_in/platform.hpp"

#include "support/loopback.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace zinniaferry::stand_in
{
namespace
{

using test::get_response;
using test::make_request;

struct platform_test : testing::Test
{
    platform_test() { EXPECT_TRUE(publish_configuration(state, R"({"version": 3})")); }

    http_response get(std::map<std::string, std::string, std::less<>> query = {})
    {
        return get_response(context, handler, make_request("GET", "/v1/config", std::move(query)));
    }

    unsigned control(const std::string& path, std::map<std::string, std::string, std::less<>> query)
    {
        return get_response(context, handler, make_request("POST", path, std::move(query))).status;
    }

    platform_state state;
    boost::asio::io_context context;
    http_handler handler = make_platform_handler(state);
};

// Guards against a watch that does not end after its wait time, or that returns the version which
// the client already has.
TEST_F(platform_test, answers_304_to_a_watch_without_a_change)
{
    EXPECT_EQ(get({{"after", "3"}, {"wait_ms", "1"}}).status, 304U);
    const http_response other = get({{"after", "2"}, {"wait_ms", "60000"}});
    EXPECT_EQ(other.status, 200U);
    EXPECT_EQ(test::header(other, "ETag"), "\"3\"");
}

// Guards against a watch that returns a new configuration only when its wait time ends.
TEST_F(platform_test, wakes_watchers_on_publication)
{
    const auto config =
        test::start(context, handler,
                    make_request("GET", "/v1/config", {{"after", "3"}, {"wait_ms", "60000"}}));
    ASSERT_TRUE(test::run_until(context, [&] { return state.watch_timers.size() == 1; }));
    ASSERT_TRUE(publish_configuration(state, R"({"version": 4})"));
    ASSERT_TRUE(test::run_until(context, [&] { return config->has_value(); }));
    EXPECT_EQ((*config)->body, R"({"version": 4})");
}

// Guards against a stale mode that still serves the newest version.
TEST_F(platform_test, stale_mode_serves_an_older_version)
{
    ASSERT_TRUE(publish_configuration(state, R"({"version": 4})"));
    ASSERT_EQ(control("/control/mode", {{"mode", "stale"}, {"version", "3"}}), 200U);
    EXPECT_EQ(get().body, R"({"version": 3})");
    ASSERT_TRUE(publish_configuration(state, R"({"version": 5})"));
    EXPECT_EQ(get().body, R"({"version": 3})");
    ASSERT_EQ(control("/control/mode", {{"mode", "up"}}), 200U);
    EXPECT_EQ(get().body, R"({"version": 5})");
    EXPECT_EQ(control("/control/mode", {{"mode", "stale"}, {"version", "77"}}), 400U);
}

// Guards against new calls that are served, and watches that stay open, in a simulated outage.
TEST_F(platform_test, down_mode_resets_new_calls_and_waiting_watches)
{
    const auto watch =
        test::start(context, handler,
                    make_request("GET", "/v1/config", {{"after", "3"}, {"wait_ms", "60000"}}));
    ASSERT_TRUE(test::run_until(context, [&] { return state.watch_timers.size() == 1; }));
    ASSERT_EQ(control("/control/mode", {{"mode", "down"}}), 200U);
    ASSERT_TRUE(test::run_until(context, [&] { return watch->has_value(); }));
    EXPECT_TRUE((*watch)->reset_connection);
    EXPECT_TRUE(get().reset_connection);
}

// Guards against a slow mode without a delay, and against calls that are not counted.
TEST_F(platform_test, slow_mode_waits_and_calls_are_counted)
{
    ASSERT_EQ(control("/control/mode", {{"mode", "slow"}, {"delay_ms", "20"}}), 200U);
    const auto before = std::chrono::steady_clock::now();
    EXPECT_EQ(get().status, 200U);
    EXPECT_GE(std::chrono::steady_clock::now() - before, std::chrono::milliseconds(20));
    const http_response response =
        get_response(context, handler, make_request("GET", "/control/counters"));
    const auto counters = boost::json::parse(response.body);
    EXPECT_EQ(counters.at("calls"), 1);
    EXPECT_EQ(counters.at("version"), 3);
}

// Guards against byte counters that stay at zero or include control calls: the benchmark
// control_cost would then report wrong traffic.
TEST_F(platform_test, counts_bytes_of_readers_only)
{
    http_request request = make_request("GET", "/v1/config", {});
    request.wire_bytes = 120;
    const http_response response = get_response(context, handler, request);
    EXPECT_EQ(response.sent_bytes_counter, &state.bytes_out);
    state.bytes_out = 77;
    http_request control_request = make_request("GET", "/control/counters", {});
    control_request.wire_bytes = 5000;
    const http_response control_response = get_response(context, handler, control_request);
    EXPECT_EQ(control_response.sent_bytes_counter, nullptr);
    const auto counters = boost::json::parse(control_response.body);
    EXPECT_EQ(counters.at("bytes_in"), 120);
    EXPECT_EQ(counters.at("bytes_out"), 77);
}

} // namespace
} // namespace zinniaferry::stand_in
