/// Sessions of callers, the HTTP clients of the load balancer. A session serves one connection: it
/// reads requests one after another, handles each, and writes the complete response.
#pragma once

#include "limits/connection_budget.hpp"
#include "net/gateway.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace zinniaferry::net
{

/// The open connections of callers. Sessions share it, as they may outlive the daemon.
struct caller_connections
{
    limits::connection_budget budget;
    std::unordered_map<limits::connection_id, asio::ip::tcp::socket*> sockets;
};

/// State shared by the sessions of one daemon. It must outlive them. Thread safety: the
/// io_context's thread only; this holds for all functions of this header.
struct caller_sessions
{
    net::gateway& gateway;
    std::size_t open_count = 0; ///< Number of open connections.
    /// Sockets that wait for the first byte of a request.
    std::unordered_set<asio::ip::tcp::socket*> idle_sockets = {};
    std::shared_ptr<caller_connections> connections = std::make_shared<caller_connections>();
};

/// Accepts and serves connections until the acceptor is closed. Preconditions: `sessions` outlives
/// all sessions, and `acceptor` outlives the operation.
asio::awaitable<void> accept_callers(caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor);

/// Accepts and serves the connections in the listen backlog. If there are none, closes the acceptor
/// and returns true: new connections are refused from then on, and no established one is reset.
bool stop_accepting(caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor);

/// Closes the connections that are between two requests. The others close after their current
/// request if `gateway::close_after_response` is set.
void close_idle_sessions(caller_sessions& sessions);

} // namespace zinniaferry::net
