/// One TCP connection to a peer: handshake, bounded queue, frames in and out. Used by `peer_link`.
#pragma once

#include "core/time.hpp"
#include "net/peer_frame.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace zinniaferry::net
{

/// Bytes include frame headers and the handshake.
struct link_counters
{
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t frames_in = 0;
    std::uint64_t frames_out = 0;
    std::uint64_t frames_dropped = 0; ///< Because the queue was full or there was no connection.
    std::uint64_t frames_refused = 0; ///< Oversized, forged, out of order or malformed.
    std::uint64_t connections = 0;    ///< That passed the handshake.
};

struct session_options
{
    core::process_id self;
    std::string secret;
    core::duration handshake_timeout = std::chrono::seconds(2);
    /// Data that the peer does not acknowledge for so long closes the connection, so that ages in
    /// heartbeats are not delivered much later than they were stated. 4 s of `isolation_limit` and
    /// this second make up the 5 s bound of R4.
    core::duration send_timeout = std::chrono::seconds(1);
    std::size_t max_queued_frames = 256;
    std::size_t max_queued_bytes = std::size_t{2} << 20U; ///< One frame may exceed it alone.
    std::uint32_t max_frames_per_second = 2000;           ///< Accepted; more wait unread.
};

/// A connection. All calls and callbacks run on the executor of the socket, which must not run two
/// handlers at once. The callbacks are not called after `close`, but for `on_closed` once.
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    struct callbacks
    {
        std::function<void(peer_session&)> on_ready;
        /// Returns false when the payload is malformed; the connection is then closed.
        std::function<bool(peer_session&, std::string_view payload)> on_payload;
        std::function<void(peer_session&)> on_closed;
    };

    peer_session(boost::asio::ip::tcp::socket socket, peer_role role,
                 const session_options& options, callbacks events);

    /// Starts the handshake. `expected_vm` is empty for an accepted connection.
    void start(std::string expected_vm);

    /// Queues a payload and returns true, or drops it and returns false when the queue is full or
    /// the payload too large. Precondition: `is_ready`.
    bool send(std::string_view payload);

    /// Closes the connection. Frames that are still queued are lost.
    void close();

    bool is_ready() const { return m_ready; }
    bool is_closed() const { return m_closed; }
    peer_role role() const { return m_role; }
    const core::process_id& peer() const { return m_peer; }
    const link_counters& counters() const { return m_counters; }

private:
    using error_code = boost::system::error_code;

    void set_socket_options();
    void arm_timer(core::duration timeout);
    void set_keepalive();
    void write_handshake(std::string bytes);
    template <class Next>
    void read_bytes(std::size_t size, Next next);
    void read_peer_hello();
    void take_peer_hello();
    void read_peer_proof();
    void send_proof();
    void become_ready();
    void read_header();
    void take_header();
    void take_payload();
    void write_next();
    std::optional<core::duration> wait_for_token();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    peer_role m_role;
    session_options m_options;
    callbacks m_events;
    core::process_id m_peer;
    std::string m_expected_vm;
    std::string m_own_hello;
    std::string m_peer_hello;
    frame_stream m_in;
    frame_stream m_out;
    frame_header m_header;
    std::string m_buffer;
    struct queued
    {
        std::string bytes;
        bool is_frame = true; ///< False for parts of the handshake.
    };
    std::deque<queued> m_queue; ///< The first is being written.
    std::size_t m_queued_bytes = 0;
    bool m_writing = false;
    bool m_ready = false;
    bool m_closed = false;
    double m_tokens = 0.0;
    core::time_point m_tokens_at{};
    link_counters m_counters;
};

} // namespace zinniaferry::net
