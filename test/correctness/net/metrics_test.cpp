#include "net/metrics.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace zinniaferry::net
{
namespace
{

std::set<std::string> matches(const std::string& text, const std::string& pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> out;
    for (std::sregex_iterator at(text.begin(), text.end(), expression), end; at != end; ++at)
    {
        out.insert((*at)[1]);
    }
    return out;
}

std::string printed_metrics()
{
    const core::time_point now{std::chrono::seconds(1000)};
    const auto decider =
        node::make_decider({.self = {"vm-1", 1}, .data_centre = "dc", .region = "r"}, now, {});
    return print_metrics(*decider, {}, request_durations(), now);
}

std::string read_operations_page()
{
    std::ifstream file(ZINNIA_SOURCE_DIR "/docs/operations.md");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Guards against an operators' page that lacks a metric or tells of one that is gone.
TEST(metrics, operations_page_lists_exactly_the_metrics)
{
    const std::set<std::string> printed = matches(printed_metrics(), "# TYPE (\\w+) ");
    const std::set<std::string> listed =
        matches(read_operations_page(), "\\n\\| `(zinnia_[a-z_]+)` \\|");
    EXPECT_GT(printed.size(), 10U);
    EXPECT_EQ(listed, printed);
}

// Guards against alert rules on the operators' page that name a metric that does not exist.
TEST(metrics, operations_page_names_no_unknown_metric)
{
    const std::set<std::string> printed = matches(printed_metrics(), "# TYPE (\\w+) ");
    const std::set<std::string> named = matches(read_operations_page(), "\\b(zinnia_[a-z_]+)");
    // Names of programs of this project, which look like metrics.
    const std::set<std::string> programs{"zinnia_load", "zinnia_tests"};
    for (const std::string& name : named)
    {
        const bool is_series =
            name.ends_with("_bucket") || name.ends_with("_sum") || name.ends_with("_count");
        const std::string metric = is_series ? name.substr(0, name.rfind('_')) : name;
        EXPECT_TRUE(printed.contains(metric) || programs.contains(name)) << name;
    }
}

// Guards against refusals that the metrics would count under no error.
TEST(metrics, operations_page_lists_every_refusal)
{
    const std::set<std::string> printed =
        matches(printed_metrics(), "zinnia_refusals_total\\{error=\"(\\w+)\"\\}");
    const std::set<std::string> listed =
        matches(read_operations_page(), "\\n\\| `error=\"(\\w+)\"` \\|");
    EXPECT_GT(printed.size(), 10U);
    EXPECT_EQ(listed, printed);
}

} // namespace
} // namespace zinniaferry::net
