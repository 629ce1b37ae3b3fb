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

    http_reply get(std::map<std::string, std::string, std::less<>> query = {})
    {
        return get_response(context, handler, make_request("GET", "/v1/config", std::move(query)));
    }

    unsigned control(const std::string& path, std::map<std::string, std::string, std::less<>> query)
    {
        return get_response(context, handler, make_request("POST", path, std::move(query))).status;
    }

    platform state;
    boost::asio::io_context context;
    http_handler handler = make_platform_handler(state);
};

// Guards against a watch that never ends, or that repeats the version its caller has.
TEST_F(platform_test, answers_304_to_a_watch_without_a_change)
{
    EXPECT_EQ(get({{"after", "3"}, {"wait_ms", "1"}}).status, 304U);
    const http_reply other = get({{"after", "2"}, {"wait_ms", "60000"}});
    EXPECT_EQ(other.status, 200U);
    EXPECT_EQ(test::header(other, "ETag"), "\"3\"");
}

// Guards against a watch that hears of a publication only when its wait ends.
TEST_F(platform_test, wakes_watches_on_publication)
{
    const auto config =
        test::start(context, handler,
                    make_request("GET", "/v1/config", {{"after", "3"}, {"wait_ms", "60000"}}));
    ASSERT_TRUE(test::run_until(context, [&] { return state.waiting.size() == 1; }));
    ASSERT_TRUE(publish_configuration(state, R"({"version": 4})"));
    ASSERT_TRUE(test::run_until(context, [&] { return config->has_value(); }));
    EXPECT_EQ((*config)->body, R"({"version": 4})");
}

// Guards against a stale service that still shows the newest version.
TEST_F(platform_test, stale_mode_answers_an_older_version)
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

// Guards against watches that survive an outage of the service.
TEST_F(platform_test, down_mode_resets_new_calls_and_waiting_watches)
{
    const auto watch =
        test::start(context, handler,
                    make_request("GET", "/v1/config", {{"after", "3"}, {"wait_ms", "60000"}}));
    ASSERT_TRUE(test::run_until(context, [&] { return state.waiting.size() == 1; }));
    ASSERT_EQ(control("/control/mode", {{"mode", "down"}}), 200U);
    ASSERT_TRUE(test::run_until(context, [&] { return watch->has_value(); }));
    EXPECT_TRUE((*watch)->reset);
    EXPECT_TRUE(get().reset);
}

// Guards against a slow mode that answers at once, and against calls that are not counted.
TEST_F(platform_test, slow_mode_waits_and_calls_are_counted)
{
    ASSERT_EQ(control("/control/mode", {{"mode", "slow"}, {"delay_ms", "20"}}), 200U);
    const auto before = std::chrono::steady_clock::now();
    EXPECT_EQ(get().status, 200U);
    EXPECT_GE(std::chrono::steady_clock::now() - before, std::chrono::milliseconds(20));
    const http_reply reply =
        get_response(context, handler, make_request("GET", "/control/counters"));
    const auto counters = boost::json::parse(reply.body);
    EXPECT_EQ(counters.at("calls"), 1);
    EXPECT_EQ(counters.at("version"), 3);
}

// Guards against byte counters that stay at zero or count the control calls: the benchmark of the
// control cost would then show a wrong figure.
TEST_F(platform_test, counts_bytes_of_readers_only)
{
    http_request request = make_request("GET", "/v1/config", {});
    request.wire_bytes = 120;
    const http_reply reply = get_response(context, handler, request);
    EXPECT_EQ(reply.sent_bytes, &state.bytes_out);
    state.bytes_out = 77;
    http_request control_request = make_request("GET", "/control/counters", {});
    control_request.wire_bytes = 5000;
    const http_reply control_reply = get_response(context, handler, control_request);
    EXPECT_EQ(control_reply.sent_bytes, nullptr);
    const auto counters = boost::json::parse(control_reply.body);
    EXPECT_EQ(counters.at("bytes_in"), 120);
    EXPECT_EQ(counters.at("bytes_out"), 77);
}

} // namespace
} // namespace zinniaferry::stand_in
