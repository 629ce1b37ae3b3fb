/// HTTP client of the load tool: keep-alive connections to several targets.
#pragma once

#include "load/report.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace zinniaferry::load
{

struct client_request
{
    std::size_t target = 0; ///< Index of the target.
    std::string method;
    std::string path_and_query; ///< With the query.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    milliseconds timeout{5000.0};
};

struct request_result
{
    load::outcome outcome = outcome::unknown;
    load::verdict verdict = verdict::cut;
    unsigned status = 0;
};

/// Idle connections by target.
struct connection_pool;

/// Returns a pool for the targets. The pool must be used on one thread.
std::shared_ptr<connection_pool> make_connection_pool(std::vector<boost::asio::ip::tcp::endpoint> targets);

/// Sends a request once and never again: a caller cannot know whether it ran. Checks that the
/// answer is whole and its own. Precondition: the target exists.
boost::asio::awaitable<request_result> send_once(std::shared_ptr<connection_pool> pool, client_request request);

/// Judges an answer to `path`. Thread safe.
request_result classify_response(unsigned status, std::string_view body, std::string_view path_and_query);

} // namespace zinniaferry::load
