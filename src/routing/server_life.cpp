#include "routing/server_life.hpp"

#include "chart/chart.hpp"

#include <array>

namespace zinniaferry::routing
{

namespace
{

constexpr std::array state_names = {"cold", "warming", "serving", "suspect", "draining", "gone"};
constexpr std::array event_names = {
    "states_serving", "states_cold", "states_draining", "warmed", "connection_ended",
    "latency_jump",   "errors",      "probe_passed",    "leave",  "removed",
    "listed"};

/// Indices of the chart for the enumerators, looked up once.
struct chart_indices
{
    const chart::state_chart* chart = nullptr;
    std::array<chart::index, state_names.size()> state{};
    std::array<chart::index, event_names.size()> event{};
    std::array<server_state, state_names.size()> state_of{};
};

const chart_indices& indices()
{
    static const chart_indices result = []
    {
        chart_indices out;
        out.chart = &chart::get_chart("backend_server");
        for (std::size_t i = 0; i < state_names.size(); ++i)
        {
            out.state.at(i) = chart::state_index(*out.chart, state_names.at(i));
            out.state_of.at(out.state.at(i)) = static_cast<server_state>(i);
        }
        for (std::size_t i = 0; i < event_names.size(); ++i)
        {
            out.event.at(i) = chart::event_index(*out.chart, event_names.at(i));
        }
        return out;
    }();
    return result;
}

} // namespace

server_state next_state(server_state state, server_event event)
{
    const chart_indices& known = indices();
    const chart::step_result next =
        chart::step(*known.chart, known.state.at(static_cast<std::size_t>(state)),
                    known.event.at(static_cast<std::size_t>(event)));
    return known.state_of.at(next.state);
}

const char* to_string(server_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

} // namespace zinniaferry::routing
