/// A listener for questions about the daemon itself: readiness, metrics and the state dump.
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
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// The views are valid during the call only.
struct status_request
{
    std::string_view path;
    std::string_view authorization;
};

using status_handler = std::function<status_response(const status_request&)>;

/// Answers GET requests by `handler` until the acceptor is closed. Precondition: the acceptor and
/// the log outlive the operation. Thread safety: the acceptor's executor only.
boost::asio::awaitable<void> serve_status(boost::asio::ip::tcp::acceptor& acceptor, event_log& log,
                                          status_handler handler);

} // namespace zinniaferry::net
