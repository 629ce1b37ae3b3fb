#include "net/event_log.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using testing::HasSubstr;

// Returns what `write` logs to standard output. Destroying the log joins its writer thread, so all
// lines are captured.
template <class Write>
std::string logged(const event_log_options& options, Write write)
{
    testing::internal::CaptureStdout();
    {
        event_log log(options);
        write(log);
    }
    return testing::internal::GetCapturedStdout();
}

// Guards against lines that programs cannot parse, or that lack the VM or the part.
TEST(event_log, a_line_is_one_json_object_with_its_part)
{
    const std::string out =
        logged({.vm = "vm-1"},
               [](event_log& log) {
                   log.write("requests", "answered", {{"request", "a \"quoted\" id"}});
               });
    EXPECT_THAT(out, HasSubstr(R"("vm":"vm-1","part":"requests","kind":"answered")"));
    EXPECT_THAT(out, HasSubstr(R"("request":"a \"quoted\" id"})"));
    const std::string text = logged({.vm = "vm-1", .format = config::log_format::text},
                                    [](event_log& log) {
                                        log.write("daemon", "ready", {{"version", 3}});
                                    });
    EXPECT_THAT(text, HasSubstr(R"(part="daemon" kind="ready" version=3)"));
}

// Guards against a log volume that grows with the load, and against suppressed lines that are not
// counted.
TEST(event_log, lines_above_the_rate_limit_are_suppressed_and_counted)
{
    std::uint64_t suppressed = 0;
    const std::string out = logged({.vm = "vm-1", .max_lines_per_kind_per_second = 3},
                                   [&](event_log& log)
                                   {
                                       for (int i = 0; i < 50; ++i)
                                       {
                                           log.write("requests", "answered", {{"i", i}});
                                       }
                                       log.write("daemon", "ready", {});
                                       suppressed = log.suppressed_lines();
                                   });
    // The loop may run across the end of a second, and then writes up to three lines in each.
    EXPECT_GE(suppressed, 44U);
    EXPECT_LE(std::count(out.begin(), out.end(), '\n'), 8);
    EXPECT_THAT(out, HasSubstr(R"("kind":"ready")")) << "each kind has its own limit";
}

// Guards against a disabled log that still writes or counts lines.
TEST(event_log, a_disabled_log_writes_nothing)
{
    EXPECT_EQ(logged({.vm = "vm-1", .enabled = false},
                     [](event_log& log) { log.write("daemon", "ready", {}); }),
              "");
}

} // namespace
} // namespace zinniaferry::net
