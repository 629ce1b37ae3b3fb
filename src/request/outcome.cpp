#include "request/outcome.hpp"

#include <array>

namespace zinniaferry::request
{

namespace
{

constexpr std::array state_names = {"received", "admitted", "claiming", "queued", "connecting",
                                    "sent",     "answered", "not_run",  "unknown"};
constexpr std::array event_names = {
    "admit",    "refuse",         "needs_claim", "claimed", "claim_failed",       "enqueue",
    "dispatch", "connect_failed", "bytes_left",  "answer",  "server_did_not_run", "lost",
    "deadline", "cancel"};
constexpr std::array action_names = {"release_claim", "send",          "reply",
                                     "reply_not_run", "reply_unknown", "close_connection"};

/// Indices of the chart for the enumerators, looked up once.
struct chart_indices
{
    const chart::state_chart* chart = nullptr;
    std::array<chart::index, state_names.size()> state{};
    std::array<request_state, state_names.size()> state_of{};
    std::array<chart::index, event_names.size()> event{};
    std::array<request_action, action_names.size()> action_of{};
    chart::index retry = 0;
};

const chart_indices& indices()
{
    static const chart_indices result = []
    {
        chart_indices out;
        out.chart = &chart::get_chart("request");
        for (std::size_t i = 0; i < state_names.size(); ++i)
        {
            out.state.at(i) = chart::state_index(*out.chart, state_names.at(i));
            out.state_of.at(out.state.at(i)) = static_cast<request_state>(i);
        }
        for (std::size_t i = 0; i < event_names.size(); ++i)
        {
            out.event.at(i) = chart::event_index(*out.chart, event_names.at(i));
        }
        for (std::size_t i = 0; i < action_names.size(); ++i)
        {
            out.action_of.at(chart::action_index(*out.chart, action_names.at(i))) =
                static_cast<request_action>(i + 1);
        }
        out.retry = chart::event_index(*out.chart, "retry");
        return out;
    }();
    return result;
}

chart::step_result follow(request_life& life, chart::index event)
{
    const chart_indices& known = indices();
    const chart::step_result next =
        chart::step(*known.chart, known.state.at(static_cast<std::size_t>(life.state)), event);
    life.state = known.state_of.at(next.state);
    return next;
}

chart::index index_of(request_event event)
{
    return indices().event.at(static_cast<std::size_t>(event));
}

outcome outcome_of(request_state state)
{
    switch (state)
    {
    case request_state::answered:
        return outcome::answered;
    case request_state::not_run:
        return outcome::not_run;
    case request_state::unknown:
        return outcome::unknown;
    default:
        return outcome::open;
    }
}

/// Picks the chart's event for what happened: a lost idempotent request may become a retry, and a
/// request that may not be sent again leaves the queue at once.
chart::step_result follow_rules(request_life& life, request_event event, retry_budget& budget,
                                core::time_point now)
{
    const bool in_time = now < life.deadline;
    if (event == request_event::lost && life.state == request_state::sent)
    {
        life.may_have_run = true;
        const bool retry = life.idempotent && in_time && try_retry(budget);
        return follow(life, retry ? indices().retry : index_of(event));
    }
    const chart::step_result next = follow(life, index_of(event));
    if (event == request_event::server_did_not_run && next.accepted)
    {
        // The server's word makes a repeat safe for any request; the budget keeps it bounded.
        if (!in_time || !try_retry(budget))
        {
            return follow(life, index_of(request_event::refuse));
        }
    }
    return next;
}

} // namespace

request_life make_request_life(bool idempotent, core::time_point deadline)
{
    request_life life;
    life.idempotent = idempotent;
    life.deadline = deadline;
    return life;
}

decision apply(request_life& life, request_event event, retry_budget& budget, core::time_point now)
{
    const request_state before = life.state;
    const chart::step_result next = follow_rules(life, event, budget, now);
    decision out;
    out.accepted = next.accepted;
    if (!next.accepted)
    {
        return out;
    }
    if (next.action != chart::no_index)
    {
        out.action = indices().action_of.at(next.action);
    }
    if (event == request_event::bytes_left)
    {
        ++life.attempts;
    }
    // "Not run" would be false after an attempt that may have run.
    if (life.state == request_state::not_run && life.may_have_run)
    {
        life.state = request_state::unknown;
        out.action = out.action == request_action::reply_not_run ? request_action::reply_unknown
                                                                 : out.action;
    }
    const bool was_at_server = before == request_state::sent || before == request_state::connecting;
    out.result = outcome_of(life.state);
    out.send_again = was_at_server && life.state == request_state::queued;
    out.close_connection = was_at_server && event != request_event::answer &&
                           event != request_event::server_did_not_run &&
                           event != request_event::bytes_left;
    return out;
}

bool may_use_connection(bool idempotent, bool fresh, core::duration idle)
{
    constexpr core::duration recent = std::chrono::seconds(1);
    return idempotent || fresh || idle < recent;
}

const char* to_string(outcome value)
{
    constexpr std::array names = {"open", "answered", "not_run", "unknown"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace zinniaferry::request
