/// HTTP client of the load generator, with a pool of keep-alive connections per target.
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

/// A request to send to a target.
struct client_request
{
    std::size_t target = 0; ///< Index in the pool's list of targets.
    std::string method;
    std::string path_and_query;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The client gives up this long after the start of the request, connecting included.
    milliseconds timeout{5000.0};
};

/// How a request ended.
struct request_result
{
    load::outcome outcome = outcome::unknown;
    load::verdict verdict = verdict::cut;
    unsigned status = 0; ///< HTTP status; 0 if no response was received.
    std::string server;  ///< Named by the response if the outcome is answered.
};

/// Idle keep-alive connections of each target.
struct connection_pool;

/// Returns a pool for the targets. The pool must be used on one thread.
std::shared_ptr<connection_pool>
make_connection_pool(std::vector<boost::asio::ip::tcp::endpoint> targets);

/// Returns IP:PORT of a target. Precondition: the target exists.
std::string target_address(const connection_pool& pool, std::size_t target);

/// Sends a request and checks that the response is complete and belongs to it. Never resends after
/// a failure, because a client cannot know whether the request was executed.
/// Precondition: the target exists.
boost::asio::awaitable<request_result> send_once(std::shared_ptr<connection_pool> pool,
                                                 client_request request);

/// Returns the outcome and verdict of a complete HTTP response to `path_and_query`. Thread safe.
request_result classify_response(unsigned status, std::string_view body,
                                 std::string_view path_and_query);

} // namespace zinniaferry::load
