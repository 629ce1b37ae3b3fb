#include "platform/decode.hpp"

#include "platform/adapter.hpp"
#include "platform/settings.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace zinniaferry::platform
{
namespace
{

using namespace std::chrono_literals;

constexpr const char* server_text =
    R"({"address":"10.128.0.9:8080","info":{"service":"s","version":"v1","zone":"z","slots":2},
        "status":{"state":"ready","seq":4,"warmup-left-s":1.5},"born":1700000000000})";

constexpr const char* configuration_text = R"({"version":"r12",
    "routes":[{"name":"r1","host":"h.example","prefix":"/a/","kind":"safe","timeout-s":1.5,
               "slo-s":0.6,"priority":2,"split":[{"service":"s","weight":90},
               {"service":"t","weight":10}],"attempts":2,"no-auth":false},
              {"name":"r2","host":"h.example","prefix":"/b/","kind":"unsafe","timeout-s":1.2,
               "slo-s":0.8,"priority":1,"service":"t","attempts":1,"no-auth":true}],
    "services":[{"name":"s","health-path":"/up","max-conns":260,"warmup-s":3.0,"warmup-per-s":2.2}],
    "limits":{"header-bytes":16384,"body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},
    "tenants":[{"name":"acc","api-keys":["k1","k2","k3"],"priority":1,"rate-per-s":17,"burst":5}]})";

// Guards against a configuration field that is read from the wrong member or in the wrong unit.
TEST(platform_decode, a_configuration_is_decoded)
{
    const auto config = decode_configuration(configuration_text);
    ASSERT_TRUE(config);
    EXPECT_EQ(config->version, 12U);
    ASSERT_EQ(config->routes.size(), 2U);
    EXPECT_EQ(config->routes[0].timeout, 1500ms);
    EXPECT_EQ(config->routes[0].objective, 600ms);
    EXPECT_EQ(config->routes[0].priority, 2U);
    EXPECT_EQ(config->routes[0].split.size(), 2U);
    EXPECT_EQ(config->routes[0].split[0].weight, 90.0);
    EXPECT_TRUE(config->routes[0].idempotent);
    EXPECT_FALSE(config->routes[1].idempotent);
    EXPECT_TRUE(config->routes[1].open);
    EXPECT_EQ(config->routes[1].attempts, 1U);
    EXPECT_EQ(config->services[0].health_path, "/up");
    EXPECT_EQ(config->services[0].warmup, 3s);
    EXPECT_EQ(config->services[0].warmup_rate, 2.2);
    EXPECT_EQ(config->limits.idle_timeout, 15s);
    EXPECT_EQ(config->limits.body_bytes, 67108864U);
    ASSERT_EQ(config->accounts.size(), 1U);
    EXPECT_EQ(config->accounts[0].keys.size(), 3U);
    EXPECT_EQ(config->accounts[0].keys[0], core::sha256("k1"));
    EXPECT_EQ(config->accounts[0].rate, 17.0);
    EXPECT_EQ(config->accounts[0].priority, 1U);
}

// Guards against versions that are compared as strings ("r9" above "r10") and against a document
// that is accepted without a valid version.
TEST(platform_decode, a_configuration_without_a_valid_version_is_rejected)
{
    EXPECT_EQ(decode_configuration(R"({"version":"r9"})")->version, 9U);
    for (const char* text : {R"({"version":"9"})", R"({"version":9})", R"({"version":"r"})",
                             R"({"version":"r9x"})", "{}", "[]", "", "{"})
    {
        EXPECT_FALSE(decode_configuration(text)) << text;
    }
}

// Guards against requests that run twice because their route is of an unknown kind.
TEST(platform_decode, only_routes_of_kind_safe_are_idempotent)
{
    const auto config = decode_configuration(
        R"({"version":"r1","routes":[{"prefix":"/","service":"s","kind":"odd","attempts":0}]})");
    ASSERT_EQ(config->routes.size(), 1U);
    EXPECT_FALSE(config->routes[0].idempotent);
    EXPECT_EQ(config->routes[0].attempts, 1U);
}

// Guards against a server field that is read from the wrong member or in the wrong unit.
TEST(platform_decode, a_server_entry_is_decoded)
{
    const auto server = decode_server("servers/i-1", server_text);
    ASSERT_TRUE(server);
    EXPECT_EQ(server->id, "i-1");
    EXPECT_EQ(server->service, "s");
    EXPECT_EQ(server->data_centre, "z");
    EXPECT_EQ(server->slots, 2U);
    EXPECT_FALSE(server->draining);
    EXPECT_EQ(server->warmup_left, 1500ms);
    EXPECT_EQ(server->incarnation, 1700000000000U);
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

// Guards against requests to an address from an entry that no backend server wrote.
TEST(platform_decode, malformed_server_entries_are_rejected)
{
    const std::string valid = server_text;
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"10.128.0.9:8080\"", "7"},
             {"\"service\":\"s\"", "\"service\":[\"s\"]"},
             {"\"zone\":\"z\",", ""},
             {"\"slots\":2", "\"slots\":\"2\""},
             {"\"slots\":2", "\"slots\":0"},
             {"\"ready\"", "\"leaving\""},
             {"\"ready\"", "1"},
             {"1700000000000", "1700000000000.5"},
             {"1700000000000", "\"1700000000000\""},
             {"{\"address\"", "[\"address\""},
             {"\"status\":{", "\"state\":{"},
             {"\"version\":\"v1\",", ""},
             {"\"version\":\"v1\"", "\"version\":1"},
             {"\"seq\":4,", ""},
             {"\"seq\":4", "\"seq\":\"4\""},
             {",\"warmup-left-s\":1.5", ""},
             {"\"warmup-left-s\":1.5", "\"warmup-left-s\":null"}})
    {
        EXPECT_FALSE(decode_server("servers/i-1", replaced(valid, from, to))) << to;
    }
    EXPECT_FALSE(decode_server("servers/i-1", ""));
    EXPECT_FALSE(decode_server("other/i-1", valid));
    EXPECT_TRUE(
        decode_server("servers/i-1", replaced(valid, "\"ready\"", "\"draining\""))->draining);
}

// Guards against values that are truncated, or read beyond their end, because of their padding.
TEST(platform_decode, base64_is_read_with_its_padding)
{
    EXPECT_EQ(decode_base64("bm9kZS0x"), "node-1");
    EXPECT_EQ(decode_base64("bm9kZS0"), std::nullopt);
    EXPECT_EQ(decode_base64("bm9kZQ=="), "node");
    EXPECT_EQ(decode_base64("bm9kZS0="), "node-");
    EXPECT_EQ(decode_base64(""), "");
    EXPECT_EQ(decode_base64("bm9k!!!!"), std::nullopt);
}

constexpr const char* settings_text = R"({"node":"front-z-1","zone":"z","ip":"10.1.0.30",
    "listen":{"front":"10.1.0.30:8782","ready":"10.1.0.30:8789","control":"10.1.0.30:8783"},
    "seeds":["10.1.0.30:8783",7,"10.2.0.22:8783"],"new-field":{"x":1},
    "bounds":["quota-window-s=5","retry-budget-ratio=0.25","strict-revoke=false","odd","x=y"],
    "limits":{"cpu-share":0.5,"link-mbps":200.0,"memory-mb":260,"max-fds":4100},
    "provider":{"address":"10.200.1.7:8784"}})";

std::string error_path(const std::string& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::string>
        {
            BOOST_LEAF_CHECK(read_settings(text, "f"));
            return std::string("no error");
        },
        [](const core::document_error& error) { return error.path; },
        [] { return std::string("untyped error"); });
}

// Guards against a daemon that rejects the fields of a newer platform, and against bounds that are
// ignored.
TEST(platform_settings, known_fields_are_read_and_others_ignored)
{
    const settings read = read_settings(settings_text, "f").value();
    EXPECT_EQ(read.vm, "front-z-1");
    EXPECT_EQ(read.data_centre, "z");
    EXPECT_EQ(read.data_centres, std::vector<std::string>{"z"}) << "no others are stated";
    const std::string zones = R"("zones":{"z":"r","y":"r"},"new-field")";
    EXPECT_EQ(
        read_settings(replaced(settings_text, "\"new-field\"", zones), "f").value().data_centres,
        (std::vector<std::string>{"z", "y"}));
    EXPECT_EQ(read.peer_address, "10.1.0.30:8783");
    EXPECT_EQ(read.seeds, (std::vector<std::string>{"10.1.0.30:8783", "10.2.0.22:8783"}));
    EXPECT_EQ(read.retry_budget_ratio, 0.25);
    EXPECT_EQ(read.quota_window, 5s);
    EXPECT_EQ(read.link_mbps, 200U);
    EXPECT_EQ(read.memory_mb, 260U);
    EXPECT_EQ(read.max_sockets, 3900U);
    EXPECT_EQ(read_settings(replaced(settings_text, "4100", "200"), "f").value().max_sockets, 0U);
    EXPECT_EQ(read_settings(replaced(settings_text, "200.0", "-1"), "f").value().link_mbps, 0U);
    EXPECT_EQ(read.stop_grace, 6s) << "the default";
}

// Guards against a daemon that starts without one of its addresses and fails later.
TEST(platform_settings, a_missing_address_is_named)
{
    EXPECT_EQ(error_path(settings_text), "no error");
    EXPECT_EQ(error_path(replaced(settings_text, "\"front\":", "\"face\":")), "/listen/front");
    EXPECT_EQ(error_path(replaced(settings_text, "\"10.200.1.7:8784\"", "7")), "/provider/address");
    EXPECT_EQ(error_path("{"), "$");
    EXPECT_EQ(error_path("[]"), "$");
}

std::string with_bound(const std::string& bound)
{
    return replaced(settings_text, "\"x=y\"", "\"" + bound + "\"");
}

// Guards against a daemon that runs with a bound that makes no sense: a negative slack, a window
// that is divided by zero, or a duration that overflows.
TEST(platform_settings, a_bound_out_of_range_is_named)
{
    for (const std::string name :
         {"retry-budget-ratio", "budget-slack", "probes-per-s", "quota-overage", "quota-slack",
          "warmup-overage", "warmup-slack", "config-apply-s", "grace-s"})
    {
        for (const char* value : {"-0.1", "nan", "inf", "-inf", "1e300", "1e999", "1e9", "", "x"})
        {
            EXPECT_EQ(error_path(with_bound(name + "=" + value)), "/bounds/" + name) << value;
            EXPECT_EQ(error_path(with_bound("new-" + name + "=" + value)), "no error") << value;
        }
        EXPECT_EQ(error_path(with_bound(name + "=0")), "no error");
    }
    for (const char* value : {"0", "-5", "nan", "1e9"})
    {
        EXPECT_EQ(
            error_path(replaced(settings_text, "window-s=5", std::string("window-s=") + value)),
            "/bounds/quota-window-s")
            << value;
    }
}

// Guards against a reload that applies a part of invalid settings.
TEST(platform_settings, a_reload_of_invalid_settings_fails)
{
    const std::string file = testing::TempDir() + "platform_settings_test.json";
    const net::daemon_options options =
        make_daemon_options(read_settings(settings_text, file).value(), file);
    std::ofstream(file) << with_bound("grace-s=-1");
    EXPECT_FALSE(options.reload());
    std::ofstream(file) << with_bound("grace-s=4");
    EXPECT_EQ(options.reload().value().stop_grace, 4s);
    std::remove(file.c_str());
}

} // namespace
} // namespace zinniaferry::platform
