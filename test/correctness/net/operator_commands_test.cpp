#include "net/operator_commands.hpp"

#include "net/fleet_report.hpp"
#include "support/canned_server.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>

namespace zinniaferry::net
{
namespace
{

using testing::HasSubstr;

const std::string source = ZINNIA_SOURCE_DIR;

std::map<std::string, std::string> admin_responses(int version)
{
    return {{"/state", test::http_response_text(R"({"vm":"v","configuration_version":)" +
                                                std::to_string(version) +
                                                R"(,"members":3,"requests":42,"refused":5})")}};
}

// Guards against scripts that publish an invalid configuration because the exit code was 0.
TEST(operator_commands, check_and_diff_exit_with_the_documented_codes)
{
    const command_options options;
    const command_options json{.as_json = true};
    const std::string kandy = source + "/examples/kandy.json";
    const std::string tanrend = source + "/examples/tanrend.json";
    const auto configuration = document_kind::configuration;
    EXPECT_EQ(run_check(kandy, configuration, options).exit_code, exit_ok);
    EXPECT_THAT(run_check(kandy, configuration, json).output, HasSubstr("\"servers\":36"));
    const command_result wrong = run_check(source + "/charts/backend.json", configuration, json);
    EXPECT_EQ(wrong.exit_code, exit_invalid_input);
    EXPECT_THAT(wrong.output, HasSubstr("\"valid\":false"));
    EXPECT_THAT(wrong.error, HasSubstr("backend.json: $."));
    EXPECT_EQ(run_check(kandy, document_kind::settings, options).exit_code, exit_invalid_input);
    EXPECT_EQ(run_check("no-such-file", configuration, options).exit_code, exit_invalid_input);
    EXPECT_EQ(run_diff(kandy, kandy, options).exit_code, exit_ok);
    EXPECT_EQ(run_diff(kandy, kandy, json).output, "[]\n");
    const command_result differ = run_diff(kandy, tanrend, options);
    EXPECT_EQ(differ.exit_code, exit_difference);
    EXPECT_THAT(differ.output, HasSubstr("data centre buda: added (region hungary, state in)\n"));
}

// Guards against a credential that is not sent, and against an unreadable text form of the dump.
TEST(operator_commands, state_sends_the_credential_and_shows_the_dump)
{
    test::canned_server server(
        {{"/state", test::http_response_text(
                        R"({"limits":{"accounts":[{"name":"a"}],"idle":[]},"vm":"v"})")}},
        1);
    const command_result shown = run_state(server.address(), {.credential = "the-credential"});
    EXPECT_EQ(shown.exit_code, exit_ok) << shown.error;
    EXPECT_EQ(shown.output,
              "limits:\n  accounts:\n    -\n      name: \"a\"\n  idle: []\nvm: \"v\"\n");
    EXPECT_THAT(server.requests(), HasSubstr("Authorization: Bearer the-credential\r\n"));
}

// Guards against a table that swaps its columns, and against an exit code that hides a VM with an
// older version in force.
TEST(operator_commands, fleet_shows_a_line_for_each_daemon)
{
    test::canned_server first(admin_responses(7), 2);
    test::canned_server second(admin_responses(8), 1);
    const command_options json{.as_json = true};
    const command_result same = run_fleet({first.address()}, json);
    EXPECT_EQ(same.exit_code, exit_ok);
    EXPECT_EQ(same.output, R"([{"address":")" + first.address() +
                               R"(","version":7,"vms_seen":3,"requests":42,"refusals":5}])" + "\n");
    const command_result behind = run_fleet({first.address(), second.address()}, {});
    EXPECT_EQ(behind.exit_code, exit_difference);
    EXPECT_THAT(behind.output, testing::ContainsRegex(second.address() + " +8 +3 +42 +5\n"));
}

// Guards against an unknown id, or a file that cannot be read, that ends with exit code 0.
TEST(operator_commands, explain_exits_with_the_documented_codes)
{
    const std::string file = testing::TempDir() + "explain.log";
    std::ofstream(file) << R"({"time":1,"vm":"v","part":"requests","kind":"answered",)"
                        << R"("request":"r","outcome":"answered","status":200,"ms":1})"
                        << "\n";
    EXPECT_EQ(run_explain("r", {file}, {}).exit_code, exit_ok);
    EXPECT_THAT(run_explain("r", {file}, {.as_json = true}).output,
                HasSubstr("\"cause\":\"answered\""));
    const command_result unknown = run_explain("s", {file}, {});
    EXPECT_EQ(unknown.exit_code, exit_difference);
    EXPECT_THAT(unknown.output, HasSubstr("request s is not in these logs"));
    for (const std::string& unreadable : {std::string("no-such-file"), testing::TempDir()})
    {
        const command_result failed = run_explain("r", {file, unreadable}, {});
        EXPECT_EQ(failed.exit_code, exit_invalid_input);
        EXPECT_THAT(failed.error, HasSubstr(unreadable));
    }
}

} // namespace
} // namespace zinniaferry::net
