/// TCP endpoints as settings and listings name them, and what every connection is set to.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace zinniaferry::net
{

namespace asio = boost::asio;

/// Reads an address that config::parse_address accepts. Returns nothing for any other text. Thread
/// safe.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// Sets what every connection needs: no delay, and an end when the other side is silent. Thread
/// safety: the socket's executor only.
void set_connection_options(asio::ip::tcp::socket& socket);

} // namespace zinniaferry::net
