/// The execution log of the stand-in servers: one line of JSON for each request whose execution
/// started.
#pragma once

#include "stand_in/backend.hpp"

namespace zinniaferry::stand_in
{

enum class execution_end
{
    cancelled, ///< The connection was closed, or the program stopped.
    cut,       ///< The deadline passed.
    completed
};

/// The execution of one request. The constructor counts the start; the destructor counts how the
/// execution ended and writes the log line, also when the request is cancelled or the program
/// stops. Precondition: the server and the request outlive it.
struct execution
{
    execution(backend& server, const http_request& request);
    execution(const execution&) = delete;
    execution& operator=(const execution&) = delete;
    ~execution();

    backend& server;
    const http_request& request;
    std::string server_id;           ///< At the start; a restart may change it.
    std::chrono::microseconds start; ///< Since the Unix epoch.
    execution_end end = execution_end::cancelled;
};

} // namespace zinniaferry::stand_in
