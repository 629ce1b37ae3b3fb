#include "chart/chart.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::chart
{
namespace
{

constexpr const char* lamp = R"({
    // Two states are enough to see a transition and an ignored event.
    "states": ["off", "on"], "events": ["press", "cut"], "actions": ["light"],
    "initial": "off",
    "transitions": [
        {"from": "off", "on": "press", "to": "on", "do": "light"},
        {"from": "on", "on": "press", "to": "off"},
        {"from": "on", "on": "cut", "to": "off"}
    ]})";

// Guards against applying a transition that belongs to another state.
TEST(chart, follows_transitions_and_ignores_others)
{
    const state_chart chart = read_chart(lamp, "lamp").value();
    const step_result pressed = step(chart, chart.initial, event_index(chart, "press"));
    EXPECT_TRUE(pressed.accepted);
    EXPECT_EQ(pressed.state, state_index(chart, "on"));
    EXPECT_EQ(pressed.action, action_index(chart, "light"));
    const step_result ignored = step(chart, chart.initial, event_index(chart, "cut"));
    EXPECT_FALSE(ignored.accepted);
    EXPECT_EQ(ignored.state, chart.initial);
}

// Guards against an embedded chart that is invalid, which would abort the daemon at its first use.
TEST(chart, every_embedded_chart_is_valid)
{
    EXPECT_FALSE(embedded_charts().empty());
    for (const embedded_chart& entry : embedded_charts())
    {
        EXPECT_FALSE(get_chart(entry.name).states.empty()) << entry.name;
    }
}

} // namespace
} // namespace zinniaferry::chart
