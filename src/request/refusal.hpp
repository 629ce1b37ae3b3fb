/// Reasons for which the daemon itself answers a request, and what each promises the caller.
#pragma once

#include "core/time.hpp"

namespace zinniaferry::request
{

enum class refusal_reason
{
    bad_request,
    headers_too_large,
    body_too_large,
    slow_request,
    unknown_key,
    unknown_route,
    over_limit,
    no_configuration,
    no_server,       ///< No backend server may get the request now.
    overloaded,      ///< Every backend server that was asked is full.
    stopping,        ///< The daemon is about to exit.
    expired,         ///< The time was over before the request was sent.
    deadline,        ///< The time was over after the request was sent.
    server_lost,     ///< The connection to the backend server ended before the answer.
    unusable_answer, ///< The answer was cut, or not the backend server's.
};

/// Returns the reason's name as it stands in bodies, logs and metrics. Thread safe.
const char* to_string(refusal_reason reason);

/// Returns the HTTP status. Thread safe.
unsigned http_status(refusal_reason reason);

/// Returns whether the request has not run and never will. Thread safe.
bool promises_not_run(refusal_reason reason);

struct refusal
{
    refusal_reason reason = refusal_reason::bad_request;
    core::duration retry_after{}; ///< Zero when the caller is told no time.
};

inline constexpr std::size_t refusal_reason_count =
    static_cast<std::size_t>(refusal_reason::unusable_answer) + 1;

} // namespace zinniaferry::request
