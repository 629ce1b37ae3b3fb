/// Reads the body of an HTTP message into memory, no faster than a body_room has room for it.
#pragma once

#include "net/await_error.hpp"
#include "net/body_room.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace zinniaferry::net
{

/// Bytes by which the room of a body of unknown length grows ahead of it.
inline constexpr std::uint64_t body_growth_bytes = 64ULL * 1024;

/// Returns the room for a body of which `received` bytes have arrived. While a body of unknown
/// length grows, it is copied into a block of twice its size.
template <class Parser>
std::uint64_t room_needed(const Parser& parser, std::uint64_t received)
{
    const auto length = parser.content_length();
    return length ? *length : 2 * (received + body_growth_bytes);
}

/// How long a body may wait for room.
struct room_wait
{
    core::duration longest;    ///< Each time that it needs room.
    core::time_point deadline; ///< Of all waits.
};

/// Reads the rest of a message whose header is complete. Without room in time the error is
/// asio::error::no_memory. Preconditions: the arguments outlive the operation. Thread safety: the
/// socket's executor only.
template <class Parser>
boost::asio::awaitable<boost::system::error_code>
read_body(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer, Parser& parser,
          held_body& room, const room_wait& wait)
{
    boost::system::error_code error;
    parser.eager(true);
    std::uint64_t received = 0;
    while (!error && !parser.is_done())
    {
        const core::time_point until =
            std::min(wait.deadline, core::boot_clock_now() + wait.longest);
        const bool has_room = co_await room.wait_for_room(room_needed(parser, received), until);
        if (!has_room)
        {
            co_return boost::asio::error::no_memory;
        }
        co_await boost::beast::http::async_read_some(socket, buffer, parser,
                                                     redirect_error_to(error));
        received = parser.get().body().size();
        room.on_progress(received);
    }
    co_return error;
}

} // namespace zinniaferry::net
