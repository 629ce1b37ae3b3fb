/// The exchange log of the stand-in servers: one line of JSON for each request that a server
/// received, with what its answer said of the server.
#pragma once

#include "stand_in/backend.hpp"

#include <optional>

namespace zinniaferry::stand_in
{

/// What a request asks of a server.
enum class request_kind
{
    work,
    health_check
};

/// One received request and its answer. The constructor takes the time of arrival and the server's
/// id and lifetime at that moment; the destructor writes the log line, also when the connection was
/// closed before the answer. Precondition: the server and the request outlive it.
struct exchange
{
    exchange(backend& server, const http_request& request, request_kind kind);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange();

    backend& server;
    const http_request& request;
    request_kind kind;
    std::string server_id;
    unsigned lifetime = 1;
    std::chrono::microseconds received;        ///< Since the Unix epoch.
    unsigned status = 0;                       ///< HTTP status of the answer; 0 without one.
    bool leaving = false;                      ///< The answer says that the server leaves.
    std::optional<core::duration> retry_after; ///< The pause that the answer asks for.
};

} // namespace zinniaferry::stand_in
