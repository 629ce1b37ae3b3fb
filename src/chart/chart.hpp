/// Interpreter for state charts that are kept in files, so that behaviour can be read and
/// changed without touching the code that drives it.
#pragma once

#include "core/error.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinniaferry::chart
{

/// Index of a state or event in a chart.
using index = std::uint16_t;

inline constexpr index no_index = 0xFFFF;

/// A flat state chart: for each state and event at most one next state, with an optional action
/// name that the driver carries out.
struct state_chart
{
    std::string name;
    std::vector<std::string> states;
    std::vector<std::string> events;
    std::vector<std::string> actions;
    index initial = 0;
    /// Next state and action, indexed by state * events.size() + event; no_index for none.
    std::vector<index> next;
    std::vector<index> action;
};

struct step_result
{
    index state = 0;
    bool accepted = false; ///< False when the state has no transition for the event.
    index action = no_index;
};

struct embedded_chart
{
    const char* name;
    const char* text;
};

/// Returns the charts that the build embedded from `charts/*.json`. Thread safe.
const std::vector<embedded_chart>& embedded_charts();

/// Reads a chart from JSON with comments. Error: document_error. Thread safe.
core::result<state_chart> read_chart(std::string_view text, const std::string& file);

/// Returns the embedded chart of that name. Precondition: it exists and is valid; a violation is
/// a fault of the build and ends the process. Thread safe.
const state_chart& get_chart(std::string_view name);

/// Returns the state after `event`. An event without a transition leaves the state as it is.
/// Precondition: state and event are indices of the chart. Thread safe.
step_result step(const state_chart& chart, index state, index event);

/// Returns the index of a state, event or action. Precondition: it exists in the chart. Thread
/// safe.
index state_index(const state_chart& chart, std::string_view name);
index event_index(const state_chart& chart, std::string_view name);
index action_index(const state_chart& chart, std::string_view name);

/// A chart whose states and events a program names by two enumerations, in their order.
struct chart_binding
{
    const state_chart* chart = nullptr;
    std::vector<index> state_indices; ///< By the number of the state in its enumeration.
    std::vector<index> event_indices; ///< By the number of the event in its enumeration.
};

/// Binds the embedded chart of that name. Precondition: it has all states and events named, see
/// get_chart. Thread safe.
chart_binding bind_chart(std::string_view name, std::span<const char* const> states,
                         std::span<const char* const> events);

/// Returns the number of the state after `event`, or nothing when the state has no transition for
/// it. Preconditions: both are numbers of the enumerations. Thread safe.
std::optional<std::size_t> step(const chart_binding& binding, std::size_t state, std::size_t event);

} // namespace zinniaferry::chart
