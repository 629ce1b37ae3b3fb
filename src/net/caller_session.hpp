/// Connections of callers: reads requests one after another, has each carried out, and writes the
/// whole answer.
#pragma once

#include "net/gateway.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unordered_set>

namespace zinniaferry::net
{

/// What the sessions of one daemon share. All members outlive the sessions. One thread: the
/// io_context's.
struct caller_sessions
{
    net::gateway& gateway;
    std::size_t open_count = 0;
    /// Connections that wait for the first byte of a request.
    std::unordered_set<asio::ip::tcp::socket*> idle_sockets = {};
};

/// Accepts connections until the acceptor is closed.
asio::awaitable<void> accept_callers(caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor);

/// Takes the connections that wait to be accepted. When there are none, closes the acceptor and
/// returns true: callers are refused from then on and none is reset.
bool stop_accepting(caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor);

/// Ends the connections that are between two requests; the others end after theirs when the
/// gateway is closing.
void close_idle_sessions(caller_sessions& sessions);

} // namespace zinniaferry::net
