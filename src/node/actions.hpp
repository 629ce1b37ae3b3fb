/// What goes in and out of one daemon's decider: requests, results from backend servers, and the
/// actions that the daemon carries out.
#pragma once

#include "config/model.hpp"
#include "core/time.hpp"
#include "fleet/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniaferry::node
{

/// Number of a request within one daemon.
using request_id = std::uint64_t;

/// Why a request got no answer from a backend server.
enum class request_error
{
    bad_request,
    headers_too_large,
    body_too_large,
    slow_request,
    unknown_key,
    unknown_route,
    over_limit,
    overloaded,
    no_server,
    isolated,
    not_ready,
    deadline_expired,
    repeated_key,
    claim_undecided,
    server_lost,
    incomplete_answer,
    cancelled
};

/// Returns the error's name as it stands in JSON bodies and metrics. Thread safe.
const char* to_string(request_error error);

/// Returns the HTTP status for the error. Thread safe.
unsigned http_status(request_error error);

/// Whether a request ran, as far as the daemon can know.
enum class run_state
{
    not_run,
    unknown
};

/// Returns "not_run" or "unknown". Thread safe.
const char* to_string(run_state state);

/// A request as the front end has parsed it. The views are valid during the call only.
struct request_description
{
    std::string_view path;
    std::string_view presented_key;
    std::string_view idempotency_key;
    std::optional<core::unix_time> first_sent;
    std::optional<core::duration> time_allowed; ///< The caller's deadline, from arrival.
};

/// Send the request to this backend server.
struct dispatch
{
    request_id request = 0;
    std::string server;
    std::string address;
    std::string account;
    core::time_point deadline;
    bool idempotent = false;
};

/// Tell the caller that there is no answer.
struct refusal
{
    request_id request = 0;
    request_error error = request_error::bad_request;
    run_state ran = run_state::not_run;
    core::duration retry_after{}; ///< Zero when the caller should not be told a time.
};

/// Pass the answer at hand on to the caller.
struct relay_answer
{
    request_id request = 0;
};

/// Measure a backend server with one probe.
struct send_probe
{
    std::string server;
    std::string address;
};

using action = std::variant<dispatch, refusal, relay_answer, send_probe, fleet::outgoing>;
using action_list = std::vector<action>;

/// How an attempt at a backend server ended.
enum class attempt_end
{
    answered,
    connect_failed, ///< No byte of the request was written.
    not_sent,       ///< bytes_leaving refused; no byte was written.
    lost,           ///< The connection ended after a byte may have been written.
    incomplete,     ///< The answer was truncated or malformed.
    timed_out,
    caller_gone
};

struct attempt_result
{
    attempt_end end = attempt_end::lost;
    unsigned status = 0;
    bool server_did_not_run = false; ///< The server stated so on its answer.
    std::string load_report;         ///< Value of X-Zinnia-Load; empty when absent.
    bool fresh_connection = false;
};

} // namespace zinniaferry::node
