// Malformed traces: the error names the file, the line, what was found and what was expected.
#include "history/trace.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::history
{
namespace
{

core::document_error error_of(const std::string& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<core::document_error>
        {
            BOOST_LEAF_CHECK(read_trace(text, "wrong.trace"));
            return core::document_error{.path = "no error"};
        },
        [](const core::document_error& error) { return error; },
        [] { return core::document_error{.path = "untyped error"}; });
}

struct wrong_trace
{
    const char* text;
    const char* path;
    const char* value;
    const char* expected;
};

class malformed_traces : public testing::TestWithParam<wrong_trace>
{
};

// Guards against a trace that is replayed although a part of it was not understood.
TEST_P(malformed_traces, are_refused)
{
    const core::document_error error = error_of(GetParam().text);
    EXPECT_EQ(error.file, "wrong.trace");
    EXPECT_EQ(error.path, GetParam().path);
    EXPECT_EQ(error.value, GetParam().value);
    EXPECT_EQ(error.expected, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    trace_reader, malformed_traces,
    testing::Values(
        wrong_trace{"", "line 0", "the end of the file", "a deployment"},
        wrong_trace{"# only a comment\nseed 1\n", "line 2", "seed", "deployment on the first line"},
        wrong_trace{"deployment paris\n", "line 1", "paris", "kandy or tanrend"},
        wrong_trace{"deployment kandy\n", "line 1", "the end of the file",
                    "at least one line with expect"},
        wrong_trace{"deployment kandy\nseed -1\n", "line 2", "-1",
                    "a whole number from 0 to 9000000000000000"},
        wrong_trace{"deployment kandy\nvms 21\n", "line 2", "21", "a whole number from 1 to 20"},
        wrong_trace{"deployment kandy\nlength\n", "line 2", "length", "a name and one value"},
        wrong_trace{"deployment kandy\nstrategy best\n", "line 2", "best",
                    "static_share, hashed_owner, seats_and_loans or seats_pool_and_loans"},
        wrong_trace{"deployment kandy\nat soon kill 1 1\n", "line 2", "soon",
                    "a number from 0 to 7200"},
        wrong_trace{"deployment kandy\nat 1\n", "line 2", "nothing", "the name of a fault"},
        wrong_trace{"deployment kandy\nat 1 explode\n", "line 2", "explode", "the name of a fault"},
        wrong_trace{"deployment kandy\nat 1 kill 1\n", "line 2", "1 arguments", "2 for kill"},
        wrong_trace{"deployment kandy\nat 1 kill 20 1\n", "line 2", "20", "a VM from 0 to 19"},
        wrong_trace{"deployment kandy\nat 1 kill 2 nan\n", "line 2", "nan",
                    "seconds from 0.001 to 86400"},
        wrong_trace{"deployment kandy\nat 1 cold_server timetables-1\n", "line 2", "timetables-1",
                    "the name of a backend server"},
        wrong_trace{"deployment kandy\nat 1 withdraw_key nobody\n", "line 2", "nobody",
                    "the name of an account"},
        wrong_trace{"deployment kandy\nat 1 split 4 1 third\n", "line 2", "third",
                    "one of first, second, both"},
        wrong_trace{"deployment kandy\nexpect R5.violations\n", "line 2", "2 words",
                    "expect COUNTER COMPARISON NUMBER"},
        wrong_trace{"deployment kandy\nexpect R12.violations == 0\n", "line 2", "R12.violations",
                    "the name of a counter"},
        wrong_trace{"deployment kandy\nexpect answered > 0\n", "line 2", ">", "==, >= or <="},
        wrong_trace{"deployment kandy\nhope answered\n", "line 2", "hope",
                    "a setting, at or expect"}));

} // namespace
} // namespace zinniaferry::history
