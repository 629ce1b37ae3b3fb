#include "net/endpoint.hpp"

#include "config/address.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace zinniaferry::net
{

namespace
{

/// Time for which sent data may stay unacknowledged before the connection is closed.
constexpr unsigned tcp_user_timeout_ms = 2000;

} // namespace

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    const std::optional<config::ip_endpoint> address = config::parse_address(text);
    if (!address)
    {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(asio::ip::make_address(address->ip), address->port);
}

void set_connection_options(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const unsigned timeout_ms = tcp_user_timeout_ms;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                 sizeof timeout_ms);
}

} // namespace zinniaferry::net
