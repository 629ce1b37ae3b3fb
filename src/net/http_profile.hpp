/// Names of the HTTP headers that callers and backend servers of a deployment use. The front end
/// and the backend connections are the same for every profile.
#pragma once

#include <string>

namespace zinniaferry::net
{

struct http_profile
{
    /// From callers.
    std::string key = "X-Zinnia-Key";
    std::string key_scheme; ///< Text before the key, such as "Bearer "; empty for none.

    /// From callers and to backend servers.
    std::string request_id = "X-Zinnia-Request-Id"; ///< Servers echo it.
    std::string time_left_ms = "X-Zinnia-Deadline-Ms";

    /// To backend servers.
    std::string account = "X-Zinnia-Account";
    std::string expected_server = "X-Zinnia-Expected-Server";

    /// From backend servers.
    std::string server_id = "X-Zinnia-Server-Id";
    std::string load = "X-Zinnia-Load";
    std::string warmup_left = "X-Zinnia-Warmup-Left";
    std::string not_run = "X-Zinnia-Not-Run"; ///< Its presence states that the request did not run.
    /// Marks an answer as the server's own; empty when servers do not mark their answers.
    std::string signature;
};

} // namespace zinniaferry::net
