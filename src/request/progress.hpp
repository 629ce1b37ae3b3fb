/// How far one request has come at the backend servers, by `charts/request_progress.json`: whether
/// it may be sent to a further server, and what may be promised when it is given up.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace zinniaferry::request
{

/// States of the chart.
enum class progress_state
{
    unsent,
    open,
    open_twice,
    lost,
    open_after_loss,
    answered,
    not_run,
    unknown
};

/// Events of the chart.
enum class progress_event
{
    bytes_left,     ///< At least one byte of the request may have left for a server.
    server_refused, ///< The server states that it did not run the request.
    attempt_lost,   ///< The attempt ended, and the server may have run the request.
    answer,
    give_up
};

struct progress
{
    bool idempotent = true;
    std::uint32_t max_runs = 2; ///< Servers that may run the request.
    progress_state state = progress_state::unsent;
    std::uint32_t possible_runs = 0; ///< Servers that may have run it or may be running it.
    std::uint32_t refusals = 0;
    std::uint32_t failed_connects = 0;
};

/// All functions: not thread safe for one progress, except for to_string.

const char* to_string(progress_state value);

/// Applies an event. Returns false when the state has no transition for it.
bool apply(progress& progress, progress_event event);

/// Counts an attempt that got no connection, so that no byte left.
void record_failed_connect(progress& progress);

/// Returns whether the request may be sent to a server now, as far as its own state decides.
bool may_send(const progress& progress);

/// Returns whether the request has been sent to no server, or to servers that all refused it.
bool has_certainly_not_run(const progress& progress);

} // namespace zinniaferry::request
