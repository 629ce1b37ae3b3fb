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
    : socket_(std::move(socket)), timer_(socket_.get_executor()), role_(role), options_(options),
      events_(std::move(events))
{
}

void peer_session::start(std::string expected_vm)
{
    expected_vm_ = std::move(expected_vm);
    set_socket_options();
    arm_timer(options_.handshake_timeout);
    own_hello_ = write_hello({options_.self, draw_nonce()});
    if (role_ == peer_role::client)
    {
        write_handshake(own_hello_);
    }
    read_peer_hello();
}

void peer_session::set_socket_options()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int timeout = static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(options_.send_timeout).count());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    set_keepalive();
}

void peer_session::arm_timer(core::duration timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait(
        [self = shared_from_this()](error_code error)
        {
            if (!error && !self->ready_)
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
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket_.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof idle_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof interval_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void peer_session::write_handshake(std::string bytes)
{
    queued_bytes_ += bytes.size();
    queue_.push_back({std::move(bytes), false});
    write_next();
}

template <class Next>
void peer_session::read_bytes(std::size_t size, Next next)
{
    buffer_.resize(size);
    asio::async_read(socket_, asio::buffer(buffer_),
                     [self = shared_from_this(), next](error_code error, std::size_t bytes)
                     {
                         self->counters_.bytes_in += bytes;
                         if (self->closed_)
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
                   const auto size = value_or_nothing(hello_size(session.buffer_));
                   if (!size)
                   {
                       session.fail();
                       return;
                   }
                   session.peer_hello_ = session.buffer_;
                   session.read_bytes(*size - hello_prefix_size,
                                      [](peer_session& same) { same.take_peer_hello(); });
               });
}

void peer_session::take_peer_hello()
{
    peer_hello_ += buffer_;
    const auto peer = value_or_nothing(read_hello(peer_hello_));
    // A hello that repeats the own one is a reflection; a process does not talk to its own VM.
    if (!peer || peer->id.vm == options_.self.vm ||
        (!expected_vm_.empty() && peer->id.vm != expected_vm_))
    {
        fail();
        return;
    }
    peer_ = peer->id;
    if (role_ == peer_role::server)
    {
        const core::digest proof =
            make_proof(options_.secret, peer_role::server, peer_hello_, own_hello_);
        write_handshake(own_hello_ + std::string(proof.begin(), proof.end()));
    }
    read_peer_proof();
}

void peer_session::read_peer_proof()
{
    read_bytes(
        proof_size,
        [](peer_session& session)
        {
            const bool client = session.role_ == peer_role::client;
            const std::string& client_hello = client ? session.own_hello_ : session.peer_hello_;
            const std::string& server_hello = client ? session.peer_hello_ : session.own_hello_;
            const core::digest expected =
                make_proof(session.options_.secret, client ? peer_role::server : peer_role::client,
                           client_hello, server_hello);
            core::digest stated{};
            std::copy(session.buffer_.begin(), session.buffer_.end(), stated.begin());
            if (!core::equal_in_constant_time(expected, stated))
            {
                session.fail();
                return;
            }
            session.out_.key =
                make_frame_key(session.options_.secret, session.role_, client_hello, server_hello);
            session.in_.key = make_frame_key(session.options_.secret,
                                             client ? peer_role::server : peer_role::client,
                                             client_hello, server_hello);
            session.send_proof();
            session.become_ready();
        });
}

void peer_session::send_proof()
{
    if (role_ == peer_role::client)
    {
        const core::digest proof =
            make_proof(options_.secret, peer_role::client, own_hello_, peer_hello_);
        write_handshake(std::string(proof.begin(), proof.end()));
    }
}

void peer_session::become_ready()
{
    ready_ = true;
    timer_.cancel();
    ++counters_.connections;
    tokens_ = options_.max_frames_per_second;
    tokens_at_ = core::steady_now();
    events_.on_ready(*this);
    if (!closed_)
    {
        read_header();
    }
}

bool peer_session::send(std::string_view payload)
{
    const bool full =
        queue_.size() >= options_.max_queued_frames ||
        (!queue_.empty() && queued_bytes_ + payload.size() > options_.max_queued_bytes);
    if (closed_ || full || payload.size() > max_frame_payload)
    {
        ++counters_.frames_dropped;
        return false;
    }
    queue_.push_back({seal_frame(out_, payload)});
    queued_bytes_ += queue_.back().bytes.size();
    write_next();
    return true;
}

void peer_session::write_next()
{
    if (writing_ || closed_ || queue_.empty())
    {
        return;
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(queue_.front().bytes),
                      [self = shared_from_this()](error_code error, std::size_t bytes)
                      {
                          self->writing_ = false;
                          self->counters_.bytes_out += bytes;
                          if (self->closed_)
                          {
                              return;
                          }
                          if (error)
                          {
                              self->close();
                              return;
                          }
                          self->counters_.frames_out += self->queue_.front().is_frame ? 1 : 0;
                          self->queued_bytes_ -= self->queue_.front().bytes.size();
                          self->queue_.pop_front();
                          self->write_next();
                      });
}

void peer_session::read_header()
{
    read_bytes(frame_header_size, [](peer_session& session) { session.take_header(); });
}

void peer_session::take_header()
{
    const auto header = value_or_nothing(read_frame_header(buffer_));
    if (!header)
    {
        fail();
        return;
    }
    header_ = *header;
    read_bytes(header_.size, [](peer_session& session) { session.take_payload(); });
}

// Returns how long to wait until one more frame is within the accepted rate.
std::optional<core::duration> peer_session::wait_for_token()
{
    const core::time_point now = core::steady_now();
    const double rate = options_.max_frames_per_second;
    tokens_ = std::min(rate, tokens_ + core::to_seconds(now - tokens_at_) * rate);
    tokens_at_ = now;
    tokens_ -= 1.0;
    return tokens_ >= 0.0 ? std::nullopt : std::optional(core::from_seconds(-tokens_ / rate));
}

void peer_session::take_payload()
{
    const bool opened = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(open_frame(in_, header_, buffer_));
            return true;
        },
        [] { return false; });
    if (!opened || !events_.on_payload(*this, buffer_))
    {
        fail();
        return;
    }
    ++counters_.frames_in;
    if (closed_)
    {
        return;
    }
    const std::optional<core::duration> wait = wait_for_token();
    if (!wait)
    {
        read_header();
        return;
    }
    timer_.expires_after(*wait);
    timer_.async_wait(
        [self = shared_from_this()](error_code error)
        {
            if (!error && !self->closed_)
            {
                self->read_header();
            }
        });
}

void peer_session::fail()
{
    ++counters_.frames_refused;
    close();
}

void peer_session::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    const auto keep = shared_from_this();
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    events_.on_closed(*this);
}

} // namespace zinniaferry::net
