/// Prints the account of a request, as text for operators or as JSON for programs.
#pragma once

#include "explain/causes.hpp"

namespace zinniaferry::explain
{

/// The account of a request over all logs that were read.
struct request_account
{
    std::string request_id;
    std::vector<request_facts> requests; ///< One for each line of the request.
    std::size_t unread_lines = 0;
    std::uint64_t suppressed_requests = 0; ///< Lines of requests that daemons did not write.
};

/// Returns the account of a request. It refers to `log`. Preconditions: as join_request. Thread
/// safe.
request_account explain_request(const log_lines& log, std::string request_id);

/// Returns the account as text, with a line for each piece of evidence. Thread safe.
std::string to_text(const request_account& account);

/// Returns the account as JSON, with the lines of the logs as evidence. Thread safe.
boost::json::object to_json(const request_account& account);

} // namespace zinniaferry::explain
