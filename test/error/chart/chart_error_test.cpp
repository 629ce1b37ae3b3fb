#include "chart/chart.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::chart
{
namespace
{

std::string path_of_error(const char* text)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::string>
        {
            BOOST_LEAF_CHECK(read_chart(text, "test"));
            return std::string("no error");
        },
        [](const core::document_error& error) { return error.path; },
        [] { return std::string("untyped error"); });
}

// Guards against a misspelt state name that silently drops a transition.
TEST(chart_error, names_the_path_of_an_undeclared_state)
{
    EXPECT_EQ(path_of_error(R"({"states": ["a"], "events": ["e"], "initial": "a",
                                "transitions": [{"from": "a", "on": "e", "to": "b"}]})"),
              "$.transitions[0].to");
}

// Guards against two transitions for one state and event, of which one would be ignored.
TEST(chart_error, refuses_two_transitions_for_one_event)
{
    EXPECT_EQ(path_of_error(R"({"states": ["a"], "events": ["e"], "initial": "a",
                                "transitions": [{"from": "a", "on": "e", "to": "a"},
                                                {"from": "a", "on": "e", "to": "a"}]})"),
              "$.transitions[1]");
}

// Guards against a malformed chart file that is accepted, or reported without a path.
TEST(chart_error, refuses_text_that_is_not_json)
{
    EXPECT_EQ(path_of_error("{"), "$");
}

} // namespace
} // namespace zinniaferry::chart
