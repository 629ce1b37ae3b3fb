/// Interpreter for state charts that are kept in files, so that behaviour can be read and changed
/// without changing the code that applies the events.
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

/// Index of a state, an event or an action in its list of a chart.
using index = std::uint16_t;

/// No transition or no action.
inline constexpr index no_index = 0xFFFF;

/// A flat state chart: for each state and event at most one next state, with an optional action
/// that the calling code carries out.
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

/// Outcome of one event.
struct step_result
{
    index state = 0;         ///< After the event.
    bool accepted = false;   ///< False when the state has no transition for the event.
    index action = no_index; ///< To carry out; no_index for none.
};

/// A chart file that is part of the program.
struct embedded_chart
{
    const char* name; ///< File name without its extension.
    const char* text; ///< JSON with comments.
};

/// Returns the charts that the build embedded from `charts/*.json`. Thread safe.
const std::vector<embedded_chart>& embedded_charts();

/// Parses a chart from JSON with comments. `file` is its name, also in errors. Error:
/// document_error. Thread safe.
core::result<state_chart> read_chart(std::string_view text, const std::string& file);

/// Returns the embedded chart of that name. Precondition: it exists and is valid; otherwise the
/// build is faulty and the process is aborted. Thread safe.
const state_chart& get_chart(std::string_view name);

/// Returns the state after `event`. An event without a transition leaves the state as it is.
/// Precondition: state and event are indices of the chart. Thread safe.
step_result step(const state_chart& chart, index state, index event);

/// Returns the index of a state, event or action. Precondition: it exists in the chart; otherwise
/// the process is aborted. Thread safe.
index state_index(const state_chart& chart, std::string_view name);
index event_index(const state_chart& chart, std::string_view name);
index action_index(const state_chart& chart, std::string_view name);

/// A chart with the indices of the states and events that a program has as two enumerations.
struct chart_binding
{
    const state_chart* chart = nullptr;
    std::vector<index> state_indices; ///< By the value of the enumerator.
    std::vector<index> event_indices; ///< By the value of the enumerator.
};

/// Binds the embedded chart of that name to two enumerations, given as the names of their
/// enumerators in order. Precondition: the chart exists and has all of these names; otherwise the
/// process is aborted. Thread safe.
chart_binding bind_chart(std::string_view name, std::span<const char* const> states,
                         std::span<const char* const> events);

/// Returns the enumerator value of the state after `event`, or nothing when the state has no
/// transition for it. Precondition: `state` and `event` are values of the enumerations. Thread
/// safe.
std::optional<std::size_t> step(const chart_binding& binding, std::size_t state, std::size_t event);

} // namespace zinniaferry::chart
