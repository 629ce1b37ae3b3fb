/// Names of the HTTP headers that callers and backend servers of a deployment use. The rest of the
/// HTTP handling is the same for every profile.
#pragma once

#include "routing/load_reading.hpp"

#include <string>

namespace zinniaferry::net
{

/// Header names and formats. Members that end in `_header` are header names.
struct http_profile
{
    /// Received from callers.
    std::string key_header = "X-Zinnia-Key"; ///< Key of a client account.
    std::string key_scheme; ///< Text before the key, such as "Bearer "; empty for none.

    /// Received from callers and sent to backend servers.
    std::string request_id_header = "X-Zinnia-Request-Id"; ///< Servers echo it.
    std::string time_left_header = "X-Zinnia-Deadline-Ms"; ///< Milliseconds until the deadline.

    /// Sent to backend servers.
    std::string account_header = "X-Zinnia-Account"; ///< Name of the client account.
    std::string expected_server_header = "X-Zinnia-Expected-Server"; ///< Id of the intended server.

    /// Received from backend servers.
    std::string server_id_header = "X-Zinnia-Server-Id";
    std::string load_header = "X-Zinnia-Load";               ///< Read by `parse_load`.
    std::string warmup_left_header = "X-Zinnia-Warmup-Left"; ///< Milliseconds.
    /// States that the request was not run, by `not_run_value` or, if that is empty, by its
    /// presence.
    std::string not_run_header = "X-Zinnia-Outcome";
    std::string not_run_value = "not-run";
    std::string leaving_header = "X-Zinnia-Leaving"; ///< "1" if the server is about to end.
    /// Seconds, fractions included, for which a server that responds with 503 wants nothing.
    std::string retry_after_header = "Retry-After";
    routing::load_parser parse_load = routing::parse_named_load;
    /// Marks a response as the server's own; empty if servers do not mark their responses.
    std::string signature_header;
    /// Whether a response may state no length and end with its connection. Such a response cannot
    /// be distinguished from one that was truncated by an orderly close.
    bool allow_unframed_responses = false;

    /// Sent to callers with the daemon's own responses: "not-run" or "unknown"; empty for no
    /// header.
    std::string outcome_header = "X-Zinnia-Outcome";
};

} // namespace zinniaferry::net
