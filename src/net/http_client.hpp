/// Asynchronous HTTP requests of the daemon itself: to the platform and for probes.
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

/// A kept-alive connection to one address, opened again after each failure.
class http_client
{
public:
    /// Precondition: `io` outlives the client.
    http_client(boost::asio::io_context& io, std::string address, std::uint64_t max_body_bytes);

    /// Sends GET `target` and reads the whole answer. Returns nothing on any failure or when
    /// `timeout` passes. One request at a time. Thread safety: the io_context's thread only.
    boost::asio::awaitable<std::optional<http_response>> get(std::string target,
                                                             core::duration timeout);

    /// Ends the pending request and closes the connection. Thread safety: as get.
    void close();

private:
    boost::asio::awaitable<bool> ensure_connected();

    boost::asio::io_context& io_;
    std::string address_;
    std::uint64_t max_body_bytes_;
    boost::asio::ip::tcp::socket socket_;
    deadline_timer timer_;
    boost::beast::flat_buffer buffer_;
};

} // namespace zinniaferry::net
