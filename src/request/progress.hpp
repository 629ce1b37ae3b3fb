/// Progress of one request at the backend servers, by the chart `charts/request_progress.json`:
/// whether it may be sent to a further server, and whether a refusal may state that it did not run.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace zinniaferry::request
{

/// States of the chart.
enum class progress_state
{
    unsent,          ///< Sent to no server, or only to servers that did not run it.
    open,            ///< One server may be running it.
    open_twice,      ///< Two servers may be running it.
    lost,            ///< No attempt is open, and a server may have run it.
    open_after_loss, ///< One server may be running it, and another may have run it.
    answered,        ///< A server responded with a status below 500.
    not_run,         ///< Given up; certainly not run.
    unknown          ///< Given up; a server may have run it.
};

/// Events of the chart.
enum class progress_event
{
    bytes_left,     ///< At least one byte of the request may have left for a server.
    server_refused, ///< The server states that it did not run the request.
    attempt_lost,   ///< The attempt failed, and the server may have run the request.
    answer,         ///< A server responded with a status below 500.
    give_up         ///< The request is not tried any further.
};

/// State and attempt counts of one request.
struct progress
{
    bool idempotent = true;
    std::uint32_t max_runs = 2; ///< Most servers that may run the request.
    progress_state state = progress_state::unsent;
    std::uint32_t possible_runs = 0;   ///< Servers that may have run it or may be running it.
    std::uint32_t refusals = 0;        ///< Servers that stated that they did not run it.
    std::uint32_t failed_connects = 0; ///< Attempts that got no connection.
};

/// Not thread safe: calls on one progress must not run concurrently. to_string is thread safe.

const char* to_string(progress_state value);

/// Applies an event. Returns false, and changes nothing, when the state has no transition for it.
bool apply(progress& progress, progress_event event);

/// Counts an attempt that got no connection, so that no byte was sent.
void record_failed_connect(progress& progress);

/// Returns whether the state, the attempt limits and idempotency of the request allow to send it to
/// a server now. Time limits and budgets are for the caller to check.
bool may_send(const progress& progress);

/// Returns whether the request was sent to no server, or only to servers that refused to run it.
bool has_certainly_not_run(const progress& progress);

} // namespace zinniaferry::request
