/// HTTP listener for requests about the daemon itself: readiness, metrics and the state dump.
#pragma once

#include "net/event_log.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace zinniaferry::net
{

struct status_response
{
    unsigned status = 200; ///< HTTP status code.
    std::string content_type = "application/json";
    std::string body;
};

/// A GET request. The views are valid only during the handler's call.
struct status_request
{
    std::string_view path;          ///< The request target, with any query.
    std::string_view authorization; ///< Value of the Authorization header; empty without one.
};

using status_handler = std::function<status_response(const status_request&)>;

/// Answers GET requests with `handler`, and others with 405, until the acceptor is closed.
/// Precondition: the acceptor and the log outlive the operation. Thread safety: the acceptor's
/// executor only.
boost::asio::awaitable<void> serve_status(boost::asio::ip::tcp::acceptor& acceptor, event_log& log,
                                          status_handler handler);

} // namespace zinniaferry::net
