#include "request/progress.hpp"

#include "chart/chart.hpp"

#include <array>

namespace zinniaferry::request
{

namespace
{

/// Refusals by servers after which a request is given up; each further send spends the fleet's
/// retry budget.
constexpr std::uint32_t max_refusals = 3;
/// Attempts without a connection after which a request is given up.
constexpr std::uint32_t max_failed_connects = 4;

constexpr std::array state_names = {"unsent",          "open",     "open_twice", "lost",
                                    "open_after_loss", "answered", "not_run",    "unknown"};
constexpr std::array event_names = {"bytes_left", "server_refused", "attempt_lost", "answer",
                                    "give_up"};

const chart::chart_binding& progress_chart()
{
    static const chart::chart_binding binding =
        chart::bind_chart("request_progress", state_names, event_names);
    return binding;
}

} // namespace

const char* to_string(progress_state value)
{
    return state_names.at(static_cast<std::size_t>(value));
}

bool apply(progress& progress, progress_event event)
{
    const auto next = chart::step(progress_chart(), static_cast<std::size_t>(progress.state),
                                  static_cast<std::size_t>(event));
    if (!next)
    {
        return false;
    }
    progress.state = static_cast<progress_state>(*next);
    progress.possible_runs += event == progress_event::bytes_left ? 1 : 0;
    if (event == progress_event::server_refused)
    {
        --progress.possible_runs;
        ++progress.refusals;
    }
    return true;
}

void record_failed_connect(progress& progress)
{
    ++progress.failed_connects;
}

bool may_send(const progress& progress)
{
    const bool tries_left =
        progress.refusals < max_refusals && progress.failed_connects < max_failed_connects;
    switch (progress.state)
    {
    case progress_state::unsent:
        return tries_left;
    case progress_state::open:
    case progress_state::lost:
        return tries_left && progress.idempotent && progress.possible_runs < progress.max_runs;
    default:
        return false;
    }
}

bool has_certainly_not_run(const progress& progress)
{
    return progress.state == progress_state::unsent || progress.state == progress_state::not_run;
}

} // namespace zinniaferry::request
