/// A connection between two daemons: frames with one hub message each, written in order by a
/// coroutine of their own.
#pragma once

#include "fleet/hub_messages.hpp"
#include "net/deadline_timer.hpp"
#include "net/event_log.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace zinniaferry::net
{

namespace asio = boost::asio;

/// A frame to be written. Several links may share it.
using frame_pointer = std::shared_ptr<const std::string>;

/// Thread safety: the io_context's thread only; this holds for all functions of this header.
struct peer_link
{
    explicit peer_link(asio::ip::tcp::socket connected)
        : socket(std::move(connected)), write_timer(socket), outbox_filled(socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    deadline_timer write_timer;       ///< Limits the time without progress of a write.
    asio::steady_timer outbox_filled; ///< Cancelled to wake write_frames.
    std::deque<frame_pointer> outbox; ///< Frames to be written.
    bool closed = false;
};

/// Closes the connection. Reads and writes on it end.
void close_link(peer_link& link);

/// Queues the frame. A peer that reads so slowly that too many frames are waiting is disconnected.
void queue_frame(peer_link& link, frame_pointer frame);

/// Writes the frames in the outbox until the link is closed. It must be the only writer of the
/// connection.
asio::awaitable<void> write_frames(std::shared_ptr<peer_link> link);

/// A message and the bytes that it took.
struct received_message
{
    fleet::hub_message message;
    std::size_t bytes = 0; ///< Size of the frame.
};

/// Reads one message. Returns nothing when the connection ends, or after a malformed message, which
/// is logged.
asio::awaitable<std::optional<received_message>> receive_message(peer_link& link, event_log& log);

} // namespace zinniaferry::net
