/// Asynchronous HTTP client for the daemon's own requests to the platform.
#pragma once

#include "core/time.hpp"
#include "net/deadline_timer.hpp"
#include "net/message_rules.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace zinniaferry::net
{

/// Client with one keep-alive connection to one address, which is reopened after a failure.
class http_client
{
public:
    /// `address` is an IP address and a port; a response with a larger body than `max_body_bytes`
    /// fails. Precondition: `io` outlives the client.
    http_client(boost::asio::io_context& io, std::string address, std::uint64_t max_body_bytes);

    /// Sends GET `target` and reads the complete response, whatever its status. Returns nothing on
    /// any failure, if no byte of it came within `timeout`, or if it then stopped coming.
    /// Precondition: no other request is pending. Thread safety: the io_context's thread only.
    boost::asio::awaitable<std::optional<http_response>> get(std::string target,
                                                             core::duration timeout);

    /// Closes the connection, which fails the pending request. Thread safety: as get.
    void close();

private:
    boost::asio::awaitable<bool> ensure_connected();

    std::string address_;
    std::uint64_t max_body_bytes_;
    boost::asio::ip::tcp::socket socket_;
    deadline_timer timer_;
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
};

} // namespace zinniaferry::net
