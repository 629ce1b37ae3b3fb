#include "config/builder.hpp"
#include "config/diff.hpp"
#include "config/json_document.hpp"
#include "config/printer.hpp"
#include "config/reader.hpp"
#include "core/random.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

namespace zinniaferry::config
{
namespace
{

constexpr const char* small_configuration = R"({
    // Comments and trailing commas are allowed.
    "version": 7,
    "regions": [{"name": "hill", "weight": 0.25}],
    "data_centres": [{"name": "north", "region": "hill", "state": "out"}],
    "accounts": [{"name": "school-3", "rate": 0.1, "burst": 12.5, "keys": [
        "9F86D081884C7D659A2FEAA0C55AD015A3BF4F1B2B0B822CD15D6C15B0F00A08"]}],
    "services": [{"name": "exams", "slots": 6, "servers": [
        {"name": "exams-1", "data_centre": "north", "address": "[::1]:9001", "leaving": true}]}],
    "routes": [{"prefix": "/exams", "service": "exams", "class": "browse", "timeout_ms": 750},
        {"host": "school.example", "prefix": "/exams", "split": [{"service": "exams", "weight": 2.5}],
         "class": "order", "attempts": 3, "objective_ms": 300}],
})";

std::string source_file(const std::string& name)
{
    return read_text_file(std::string(ZINNIA_SOURCE_DIR) + "/" + name).value();
}

// Returns a configuration with this many services, accounts and routes. Names contain `tag`, so
// that configurations with different tags have no entry in common.
configuration make_configuration(std::size_t services, const std::string& tag = "")
{
    configuration out{.version = 1};
    out.regions.push_back({.name = "r"});
    out.data_centres.push_back({.name = "dc", .region = "r"});
    for (std::size_t i = 0; i < services; ++i)
    {
        const std::string name = tag + std::to_string(i);
        out.accounts.push_back(
            {.name = "a" + name, .keys = {core::sha256(name)}, .rate = 10, .burst = 20});
        out.services.push_back(
            {.name = "s" + name,
             .servers = make_servers(
                 {.name = "v" + name,
                  .count = i % 3,
                  .data_centres = {"dc"},
                  .ip = "10." + std::to_string(i / 250) + ".0." + std::to_string(i % 250),
                  .first_port = tag.empty() ? std::uint16_t{1000} : std::uint16_t{2000}})});
        out.routes.push_back({.prefix = "/" + name, .service = "s" + name});
    }
    return out;
}

// Guards against a field that is read but not printed, or printed but not read, and so lost on the
// way to other daemons.
TEST(config, canonical_text_reads_back_as_an_equal_configuration)
{
    const configuration config = read_configuration(small_configuration, "test").value();
    EXPECT_EQ(config.accounts[0].rate, 0.1);
    EXPECT_EQ(config.routes[0].timeout, std::chrono::milliseconds(750));
    EXPECT_TRUE(config.services[0].servers[0].leaving);
    const configuration reread = read_configuration(canonical_text(config), "test").value();
    EXPECT_EQ(reread, config);
    EXPECT_EQ(digest_of(reread), digest_of(config));
}

// Guards against rounding errors when numbers are printed and read, which would change the digest.
TEST(config, decimals_survive_printing_and_reading)
{
    configuration config = read_configuration(small_configuration, "test").value();
    core::random_generator random(11);
    for (int i = 0; i < 500; ++i)
    {
        config.accounts[0].rate = static_cast<double>(1000 + random() % 9'999'999'000'000) / 1e6;
        config.accounts[0].burst = static_cast<double>(1000 + random() % 9'999'000) / 1e3;
        EXPECT_EQ(read_configuration(canonical_text(config), "test").value(), config);
    }
}

// Guards against a size limit below the 1 MB that the platform stores.
TEST(config, a_document_of_the_largest_size_is_read)
{
    configuration config = make_configuration(2000);
    const std::size_t free_bytes = max_document_bytes - canonical_text(config).size();
    const std::size_t entry_bytes = canonical_text(config.accounts[0]).size() + 2;
    for (std::size_t i = 0; i + 1 < free_bytes / (entry_bytes + 10); ++i)
    {
        config.accounts.push_back({.name = "more" + std::to_string(i),
                                   .keys = {core::sha256("more" + std::to_string(i))},
                                   .rate = 10,
                                   .burst = 20});
    }
    std::string text = canonical_text(config);
    EXPECT_GT(text.size(), max_document_bytes * 9 / 10);
    text.resize(max_document_bytes, '\n');
    EXPECT_EQ(read_configuration(text, "test").value(), config);
}

// Guards against committed examples that differ from what their programs print now, or that daemons
// would reject.
TEST(config, committed_examples_are_what_the_programs_print)
{
    for (const std::string name : {"kandy", "tanrend"})
    {
        const std::string text = source_file("examples/" + name + ".json");
        const configuration config = read_configuration(text, name).value();
        EXPECT_EQ(config.accounts.size(), 8U);
        EXPECT_EQ(config.data_centres.size(), 4U);
        const std::string program = std::string(ZINNIA_BIN_DIR) + "/" + name;
        std::FILE* pipe = popen(program.c_str(), "r");
        ASSERT_NE(pipe, nullptr);
        std::string printed(text.size() + 1, '\0');
        printed.resize(std::fread(printed.data(), 1, printed.size(), pipe));
        EXPECT_EQ(pclose(pipe), 0);
        EXPECT_EQ(printed, text) << program;
    }
}

std::string section_of_page(const std::string& page, const std::string& heading)
{
    const std::size_t start = page.find("\n" + heading + "\n");
    if (start == std::string::npos)
    {
        return {};
    }
    return page.substr(start, page.find("\n##", start + 1) - start);
}

// Guards against a field that the reference page does not document.
TEST(config, the_reference_page_names_every_field_in_its_section)
{
    const std::string page = source_file("docs/configuration.md");
    const auto expect_row = [&](const std::string& heading, std::string_view field)
    {
        const std::string row = "\n| `" + std::string(field) + "` |";
        EXPECT_NE(section_of_page(page, heading).find(row), std::string::npos)
            << heading << " does not document " << field;
    };
    for (const section_fields& section : configuration_fields())
    {
        for (const std::string_view field : section.names)
        {
            expect_row("### `" + std::string(section.section) + "`", field);
        }
    }
    for (const std::string_view field : settings_fields())
    {
        expect_row("## Settings", field);
    }
}

// Guards against settings that are ignored, and against unintended changes of defaults.
TEST(config, settings_have_defaults_and_take_every_field)
{
    const std::string required =
        R"({"vm": "vm-1", "data_centre": "north", "region": "hill", "listen": "0.0.0.0:80",
            "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
            "platform": "[::1]:7000", "admin_credential": "fedcba9876543210")";
    settings expected{.vm = "vm-1",
                      .data_centre = "north",
                      .region = "hill",
                      .listen = "0.0.0.0:80",
                      .admin_listen = "127.0.0.1:0",
                      .peer_listen = "127.0.0.1:0",
                      .platform = "[::1]:7000",
                      .admin_credential = "fedcba9876543210"};
    EXPECT_EQ(expected.stop_grace, std::chrono::seconds(6));
    EXPECT_EQ(read_settings(required + "}", "test").value(), expected);
    expected.seeds = {"127.0.0.1:7001", "[::1]:7002"};
    expected.format = log_format::text;
    expected.sink = log_sink::syslog;
    expected.stop_grace = std::chrono::milliseconds(250);
    EXPECT_EQ(
        read_settings(required +
                          R"(, "seeds": ["127.0.0.1:7001", "[::1]:7002"], "log_format": "text",
                                          "log_sink": "syslog", "stop_grace_ms": 250})",
                      "test")
            .value(),
        expected);
}

// Guards against services of a split that get a share of requests other than their weight.
TEST(config, a_split_divides_requests_by_weight)
{
    EXPECT_EQ(select_service({.service = "a"}, 0.99), "a");
    const route split{.split = {{"a", 3.0}, {"b", 1.0}}};
    int first = 0;
    for (int i = 0; i < 1000; ++i)
    {
        first += select_service(split, i / 1000.0) == "a" ? 1 : 0;
    }
    EXPECT_EQ(first, 750);
}

// Guards against a published configuration that contains a key in plain text.
TEST(config, the_builder_prints_digests_only)
{
    deployment options{.regions = {{.name = "r"}}};
    options.accounts = {{.name = "a", .keys = {"plain-text-of-the-key"}, .rate = 1, .burst = 2}};
    const configuration config = build(options).value();
    EXPECT_EQ(config.accounts[0].keys[0], core::sha256("plain-text-of-the-key"));
    EXPECT_EQ(canonical_text(config).find("plain-text"), std::string::npos);
}

// Guards against changes that the diff omits or repeats, so that operators publish them unseen.
TEST(config, diff_reports_each_change_once)
{
    const configuration before = read_configuration(small_configuration, "test").value();
    EXPECT_TRUE(diff(before, before).empty());
    configuration after = before;
    after.version = 8;
    after.data_centres[0].in_service = true;
    after.accounts[0].rate = 20;
    after.accounts[0].keys = {core::digest{0xAB}};
    after.services.push_back({.name = "term", .servers = {after.services[0].servers[0]}});
    after.services[0].servers.clear();
    after.routes[0].prefix = "/exam";
    std::vector<std::string> lines;
    for (const change& item : diff(before, after))
    {
        lines.push_back(to_string(item));
    }
    EXPECT_THAT(
        lines,
        testing::ElementsAre(
            "configuration: version 7 -> 8", "data centre north: state out -> in",
            "account school-3: rate 0.1 -> 20", "account school-3: key 9f86d081884c removed",
            "account school-3: key ab0000000000 added",
            "service term: added (slots 2, max_connections 250, health_path /health, warmup 3000 "
            "ms, "
            "warmup_rate 2)",
            "server exams-1: service exams -> term",
            "route /exams: removed (host , service exams, split , class browse, idempotent true, "
            "open false, attempts 2, timeout 750 ms, objective 1000 ms)",
            "route /exam: added (host , service exams, split , class browse, idempotent true, "
            "open false, attempts 2, timeout 750 ms, objective 1000 ms)"));
}

} // namespace
} // namespace zinniaferry::config
