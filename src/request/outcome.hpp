/// Life cycle of one request by `charts/request.json`: which event gives which outcome, and
/// whether the request may be sent again.
#pragma once

#include "chart/chart.hpp"
#include "core/time.hpp"
#include "request/retry_budget.hpp"

#include <cstdint>

namespace zinniaferry::request
{

/// States of the chart.
enum class request_state
{
    received,
    admitted,
    claiming,
    queued,
    connecting,
    sent,
    answered,
    not_run,
    unknown
};

/// Events of the chart. `retry` is not among them: it is decided here when a connection is lost.
enum class request_event
{
    admit,
    refuse,
    needs_claim,
    claimed,
    claim_failed,
    enqueue,
    dispatch,
    connect_failed,
    bytes_left, ///< At least one byte of the request may have left.
    answer,
    server_did_not_run, ///< 503 with `X-Zinnia-Outcome: not-run`.
    lost,               ///< The connection ended before the whole answer.
    deadline,
    cancel
};

enum class outcome
{
    open, ///< Not ended yet.
    answered,
    not_run,
    unknown
};

/// What the driver carries out.
enum class request_action
{
    none,
    release_claim,
    send,
    reply,
    reply_not_run,
    reply_unknown,
    close_connection
};

struct request_life
{
    request_state state = request_state::received;
    bool idempotent = true;
    bool may_have_run = false;  ///< An attempt ended without it being known whether it ran.
    std::uint32_t attempts = 0; ///< Times that bytes may have left.
    core::time_point deadline;
};

struct decision
{
    bool accepted = false; ///< False when the state has no transition for the event.
    outcome result = outcome::open;
    request_action action = request_action::none;
    bool send_again = false; ///< The request is queued again after an attempt.
    /// The connection's answer is late, lost or cancelled: it is closed and never reused.
    bool close_connection = false;
};

/// Builds the life cycle of a request that was just received. Thread safe.
request_life make_request_life(bool idempotent, core::time_point deadline);

/// Applies an event. Takes a retry from `budget` when the request is sent again after bytes may
/// have left. An event after the end is not accepted. Not thread safe.
decision apply(request_life& life, request_event event, retry_budget& budget, core::time_point now);

/// Returns whether a connection may carry the request: a non-idempotent one goes only on a
/// connection that is fresh or was used within the last second, because a close of an idle
/// connection would leave its outcome unknown. Thread safe.
bool may_use_connection(bool idempotent, bool fresh, core::duration idle);

/// Returns "open", "answered", "not_run" or "unknown". Thread safe.
const char* to_string(outcome value);

} // namespace zinniaferry::request
