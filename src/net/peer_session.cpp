#include "net/peer_session.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace zinniaferry::net
{

namespace
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

template <class Value>
std::optional<Value> value_or_nothing(core::result<Value> made)
{
    return leaf::try_handle_all([&]() -> leaf::result<std::optional<Value>>
                                { return std::optional(BOOST_LEAF_CHECK(std::move(made))); },
                                [] { return std::optional<Value>(); });
}

} // namespace

peer_session::peer_session(asio::ip::tcp::socket socket, peer_role role,
                           const session_options& options, callbacks events)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_role(role),
      m_options(options), m_events(std::move(events))
{
}

void peer_session::start(std::string expected_vm)
{
    m_expected_vm = std::move(expected_vm);
    set_socket_options();
    arm_timer(m_options.handshake_timeout);
    m_own_hello = write_hello({m_options.self, draw_nonce()});
    if (m_role == peer_role::client)
    {
        write_handshake(m_own_hello);
    }
    read_peer_hello();
}

void peer_session::set_socket_options()
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int timeout = static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_options.send_timeout).count());
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    set_keepalive();
}

void peer_session::arm_timer(core::duration timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [self = shared_from_this()](error_code error)
        {
            if (!error && !self->m_ready)
            {
                self->close();
            }
        });
}

// An accepted connection on which this process never sends would outlive a peer that vanished.
void peer_session::set_keepalive()
{
    static constexpr int idle_seconds = 10;
    static constexpr int interval_seconds = 2;
    static constexpr int probes = 3;
    error_code ignored;
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = m_socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof idle_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof interval_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void peer_session::write_handshake(std::string bytes)
{
    m_queued_bytes += bytes.size();
    m_queue.push_back({std::move(bytes), false});
    write_next();
}

template <class Next>
void peer_session::read_bytes(std::size_t size, Next next)
{
    m_buffer.resize(size);
    asio::async_read(m_socket, asio::buffer(m_buffer),
                     [self = shared_from_this(), next](error_code error, std::size_t bytes)
                     {
                         self->m_counters.bytes_in += bytes;
                         if (self->m_closed)
                         {
                             return;
                         }
                         if (error)
                         {
                             self->close();
                         }
                         else
                         {
                             next(*self);
                         }
                     });
}

void peer_session::read_peer_hello()
{
    read_bytes(hello_prefix_size,
               [](peer_session& session)
               {
                   const auto size = value_or_nothing(hello_size(session.m_buffer));
                   if (!size)
                   {
                       session.fail();
                       return;
                   }
                   session.m_peer_hello = session.m_buffer;
                   session.read_bytes(*size - hello_prefix_size,
                                      [](peer_session& same) { same.take_peer_hello(); });
               });
}

void peer_session::take_peer_hello()
{
    m_peer_hello += m_buffer;
    const auto peer = value_or_nothing(read_hello(m_peer_hello));
    // A hello that repeats the own one is a reflection; a process does not talk to its own VM.
    if (!peer || peer->id.vm == m_options.self.vm ||
        (!m_expected_vm.empty() && peer->id.vm != m_expected_vm))
    {
        fail();
        return;
    }
    m_peer = peer->id;
    if (m_role == peer_role::server)
    {
        const core::digest proof =
            make_proof(m_options.secret, peer_role::server, m_peer_hello, m_own_hello);
        write_handshake(m_own_hello + std::string(proof.begin(), proof.end()));
    }
    read_peer_proof();
}

void peer_session::read_peer_proof()
{
    read_bytes(
        proof_size,
        [](peer_session& session)
        {
            const bool client = session.m_role == peer_role::client;
            const std::string& client_hello = client ? session.m_own_hello : session.m_peer_hello;
            const std::string& server_hello = client ? session.m_peer_hello : session.m_own_hello;
            const core::digest expected =
                make_proof(session.m_options.secret, client ? peer_role::server : peer_role::client,
                           client_hello, server_hello);
            core::digest stated{};
            std::copy(session.m_buffer.begin(), session.m_buffer.end(), stated.begin());
            if (!core::equal_in_constant_time(expected, stated))
            {
                session.fail();
                return;
            }
            session.m_out.key = make_frame_key(session.m_options.secret, session.m_role,
                                               client_hello, server_hello);
            session.m_in.key = make_frame_key(session.m_options.secret,
                                              client ? peer_role::server : peer_role::client,
                                              client_hello, server_hello);
            session.send_proof();
            session.become_ready();
        });
}

void peer_session::send_proof()
{
    if (m_role == peer_role::client)
    {
        const core::digest proof =
            make_proof(m_options.secret, peer_role::client, m_own_hello, m_peer_hello);
        write_handshake(std::string(proof.begin(), proof.end()));
    }
}

void peer_session::become_ready()
{
    m_ready = true;
    m_timer.cancel();
    ++m_counters.connections;
    m_tokens = m_options.max_frames_per_second;
    m_tokens_at = core::elapsed_now();
    m_events.on_ready(*this);
    if (!m_closed)
    {
        read_header();
    }
}

bool peer_session::send(std::string_view payload)
{
    // A part of the handshake that is still being written is no frame.
    const std::size_t frames =
        m_queue.size() - (!m_queue.empty() && !m_queue.front().is_frame ? 1 : 0);
    const bool full = frames >= m_options.max_queued_frames ||
                      (frames != 0 && m_queued_bytes + payload.size() > m_options.max_queued_bytes);
    if (m_closed || full || payload.size() > max_frame_payload)
    {
        ++m_counters.frames_dropped;
        return false;
    }
    m_queue.push_back({seal_frame(m_out, payload)});
    m_queued_bytes += m_queue.back().bytes.size();
    write_next();
    return true;
}

void peer_session::write_next()
{
    if (m_writing || m_closed || m_queue.empty())
    {
        return;
    }
    m_writing = true;
    asio::async_write(m_socket, asio::buffer(m_queue.front().bytes),
                      [self = shared_from_this()](error_code error, std::size_t bytes)
                      {
                          self->m_writing = false;
                          self->m_counters.bytes_out += bytes;
                          if (self->m_closed)
                          {
                              return;
                          }
                          if (error)
                          {
                              self->close();
                              return;
                          }
                          self->m_counters.frames_out += self->m_queue.front().is_frame ? 1 : 0;
                          self->m_queued_bytes -= self->m_queue.front().bytes.size();
                          self->m_queue.pop_front();
                          self->write_next();
                      });
}

void peer_session::read_header()
{
    read_bytes(frame_header_size, [](peer_session& session) { session.take_header(); });
}

void peer_session::take_header()
{
    const auto header = value_or_nothing(read_frame_header(m_buffer));
    if (!header)
    {
        fail();
        return;
    }
    m_header = *header;
    read_bytes(m_header.size, [](peer_session& session) { session.take_payload(); });
}

// Returns how long to wait until one more frame is within the accepted rate.
std::optional<core::duration> peer_session::wait_for_token()
{
    const core::time_point now = core::elapsed_now();
    const double rate = m_options.max_frames_per_second;
    m_tokens = std::min(rate, m_tokens + core::to_seconds(now - m_tokens_at) * rate);
    m_tokens_at = now;
    m_tokens -= 1.0;
    return m_tokens >= 0.0 ? std::nullopt : std::optional(core::from_seconds(-m_tokens / rate));
}

void peer_session::take_payload()
{
    const bool opened = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(open_frame(m_in, m_header, m_buffer));
            return true;
        },
        [] { return false; });
    if (!opened || !m_events.on_payload(*this, m_buffer))
    {
        fail();
        return;
    }
    ++m_counters.frames_in;
    if (m_closed)
    {
        return;
    }
    const std::optional<core::duration> wait = wait_for_token();
    if (!wait)
    {
        read_header();
        return;
    }
    m_timer.expires_after(*wait);
    m_timer.async_wait(
        [self = shared_from_this()](error_code error)
        {
            if (!error && !self->m_closed)
            {
                self->read_header();
            }
        });
}

void peer_session::fail()
{
    ++m_counters.frames_refused;
    close();
}

void peer_session::close()
{
    if (m_closed)
    {
        return;
    }
    m_closed = true;
    const auto keep = shared_from_this();
    error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    m_events.on_closed(*this);
}

} // namespace zinniaferry::net
