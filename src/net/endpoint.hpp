/// Parsing of TCP endpoints, and the socket options of all connections.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace zinniaferry::net
{

namespace asio = boost::asio;

/// Parses an IP address and a port as config::parse_address does. Returns nothing for any other
/// text. Thread safe.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT so that a connection to a silent peer ends. Errors are
/// ignored. Thread safety: the socket's executor only.
void set_connection_options(asio::ip::tcp::socket& socket);

} // namespace zinniaferry::net
