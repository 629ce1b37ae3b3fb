/// Names of the HTTP headers that callers and backend servers of a deployment use. The front end
/// and the backend connections are the same for every profile.
#pragma once

#include "routing/load_reading.hpp"

#include <string>

namespace zinniaferry::net
{

struct http_profile
{
    /// From callers.
    std::string key_header = "X-Zinnia-Key";
    std::string key_scheme; ///< Text before the key, such as "Bearer "; empty for none.

    /// From callers and to backend servers.
    std::string request_id_header = "X-Zinnia-Request-Id"; ///< Servers echo it.
    std::string time_left_header = "X-Zinnia-Deadline-Ms";

    /// To backend servers.
    std::string account_header = "X-Zinnia-Account";
    std::string expected_server_header = "X-Zinnia-Expected-Server";

    /// From backend servers.
    std::string server_id_header = "X-Zinnia-Server-Id";
    std::string load_header = "X-Zinnia-Load";
    std::string warmup_left_header = "X-Zinnia-Warmup-Left";
    /// States that the request did not run, by this value, or by its presence if that is empty.
    std::string not_run_header = "X-Zinnia-Outcome";
    std::string not_run_value = "not-run";
    routing::load_parser parse_load = routing::parse_named_load;
    /// Marks an answer as the server's own; empty when servers do not mark their answers.
    std::string signature_header;
    /// Whether an answer may state no length and end with its connection. It cannot be told from
    /// one that was cut by an orderly close.
    bool allow_unframed_responses = false;

    /// To callers, with the daemon's own answers: "not-run" or "unknown"; empty for no such header.
    std::string outcome_header = "X-Zinnia-Outcome";
};

} // namespace zinniaferry::net
