/// The execution log of a stand-in server: one line of JSON for each request that was started.
#pragma once

#include "stand_in/backend.hpp"

namespace zinniaferry::stand_in
{

enum class execution_end
{
    cancelled,
    cut, ///< By the deadline.
    completed
};

/// One execution. Counts itself at its start; at its end it counts how it ended and writes its
/// line, also when the request is cancelled or the program stops.
struct execution
{
    execution(backend& server, const http_request& request);
    execution(const execution&) = delete;
    execution& operator=(const execution&) = delete;
    ~execution();

    backend& server;
    const http_request& request;
    std::int64_t start_us = 0; ///< Microseconds since the Unix epoch.
    execution_end end = execution_end::cancelled;
};

} // namespace zinniaferry::stand_in
