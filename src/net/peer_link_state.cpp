#include "net/peer_link_state.hpp"

#include "fleet/codec.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace zinniaferry::net
{

namespace
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::tcp;
using boost::system::error_code;

static_assert(max_frame_payload == fleet::max_message_size);

std::optional<tcp::endpoint> endpoint_of(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* first = address.data() + colon + 1;
    const char* last = address.data() + address.size();
    const auto [end, failure] = std::from_chars(first, last, port);
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    error_code error;
    const asio::ip::address ip = asio::ip::make_address(host, error);
    if (error || failure != std::errc() || end != last || first == last)
    {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

} // namespace

void add(link_counters& sum, const link_counters& more)
{
    sum.bytes_in += more.bytes_in;
    sum.bytes_out += more.bytes_out;
    sum.frames_in += more.frames_in;
    sum.frames_out += more.frames_out;
    sum.frames_dropped += more.frames_dropped;
    sum.frames_refused += more.frames_refused;
    sum.connections += more.connections;
}

core::result<void> peer_link_state::open_listener()
{
    const std::optional<tcp::endpoint> endpoint = endpoint_of(options.listen_address);
    if (!endpoint)
    {
        return leaf::new_error(
            address_error{options.listen_address, "not an IP and a port", EINVAL});
    }
    error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error)
    {
        acceptor.bind(*endpoint, error);
    }
    if (!error)
    {
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error)
    {
        return leaf::new_error(
            address_error{options.listen_address, error.message(), error.value()});
    }
    accept();
    return {};
}

void peer_link_state::accept()
{
    acceptor.async_accept(executor,
                          [self = shared_from_this()](error_code error, tcp::socket socket)
                          {
                              if (self->closed || error == asio::error::operation_aborted)
                              {
                                  return;
                              }
                              if (!error)
                              {
                                  self->take_socket(std::move(socket));
                                  self->accept();
                                  return;
                              }
                              // Such as too many open files; an immediate repeat would spin.
                              auto pause = std::make_shared<asio::steady_timer>(
                                  self->executor, self->options.first_backoff);
                              pause->async_wait(
                                  [self, pause](error_code)
                                  {
                                      if (!self->closed)
                                      {
                                          self->accept();
                                      }
                                  });
                          });
}

void peer_link_state::take_socket(tcp::socket socket)
{
    if (handshakes.size() >= options.max_handshakes)
    {
        return; // The socket closes itself.
    }
    session_pointer session = make_session(std::move(socket), peer_role::server);
    handshakes.insert(session);
    session->start({});
}

session_pointer peer_link_state::make_session(tcp::socket socket, peer_role role)
{
    const std::weak_ptr<peer_link_state> weak = weak_from_this();
    return std::make_shared<peer_session>(
        std::move(socket), role, options.session,
        peer_session::callbacks{.on_ready =
                                    [weak](peer_session& session)
                                {
                                    if (const auto self = weak.lock())
                                    {
                                        self->session_ready(session);
                                    }
                                },
                                .on_payload =
                                    [weak](peer_session& session, std::string_view payload)
                                {
                                    const auto self = weak.lock();
                                    return self && self->session_payload(session, payload);
                                },
                                .on_closed =
                                    [weak](peer_session& session)
                                {
                                    if (const auto self = weak.lock())
                                    {
                                        self->session_closed(session);
                                    }
                                }});
}

void peer_link_state::set_peers(const std::vector<peer_address>& list)
{
    for (auto& [vm, peer] : peers)
    {
        peer.endpoint.reset();
    }
    for (const peer_address& entry : list)
    {
        const std::optional<tcp::endpoint> endpoint = endpoint_of(entry.address);
        if (!endpoint || entry.vm.empty() || entry.vm == options.session.self.vm)
        {
            bad_addresses += endpoint ? 0 : 1;
            continue;
        }
        peer_record& peer = peers[entry.vm];
        const bool is_new = peer.retry == nullptr;
        peer.endpoint = endpoint;
        if (is_new)
        {
            peer.retry = std::make_shared<asio::steady_timer>(executor);
            peer.backoff = options.first_backoff;
        }
        if (!peer.sender && !peer.connecting)
        {
            connect(entry.vm);
        }
    }
    std::erase_if(peers,
                  [](const auto& entry)
                  {
                      const peer_record& peer = entry.second;
                      return !peer.endpoint && !peer.sender && !peer.connecting;
                  });
}

void peer_link_state::connect(const std::string& vm)
{
    peer_record& peer = peers[vm];
    peer.connecting = true;
    auto socket = std::make_shared<tcp::socket>(executor);
    // A peer behind a split answers nothing, so the attempt has a bound of its own.
    peer.retry->expires_after(options.session.handshake_timeout);
    peer.retry->async_wait(
        [socket](error_code error)
        {
            if (!error)
            {
                error_code ignored;
                socket->close(ignored);
            }
        });
    socket->async_connect(*peer.endpoint,
                          [self = shared_from_this(), vm, socket](error_code error)
                          {
                              if (self->closed || !self->peers.contains(vm))
                              {
                                  return;
                              }
                              self->peers[vm].retry->cancel();
                              if (error || !socket->is_open())
                              {
                                  self->retry(vm);
                                  return;
                              }
                              self->connected(vm, std::move(*socket));
                          });
}

void peer_link_state::connected(const std::string& vm, tcp::socket socket)
{
    peer_record& peer = peers[vm];
    if (peer.sender)
    {
        peer.connecting = false; // The peer was faster; its connection serves both directions.
        return;
    }
    peer.outbound = make_session(std::move(socket), peer_role::client);
    peer.outbound->start(vm);
}

void peer_link_state::retry(const std::string& vm)
{
    const auto found = peers.find(vm);
    if (closed || found == peers.end())
    {
        return;
    }
    peer_record& peer = found->second;
    peer.connecting = false;
    if (!peer.endpoint || peer.sender)
    {
        return;
    }
    peer.connecting = true;
    // The upper half of the back-off is random, so that a fleet does not reconnect in step.
    peer.retry->expires_after(
        core::from_seconds(core::to_seconds(peer.backoff) * (0.5 + 0.5 * core::uniform(random))));
    peer.backoff = std::min(2 * peer.backoff, options.backoff_limit);
    peer.retry->async_wait(
        [self = shared_from_this(), vm](error_code error)
        {
            const auto waiting = self->peers.find(vm);
            if (error || self->closed || waiting == self->peers.end())
            {
                return;
            }
            waiting->second.connecting = false;
            if (waiting->second.endpoint && !waiting->second.sender)
            {
                self->connect(vm);
            }
        });
}

void peer_link_state::session_ready(peer_session& session)
{
    const session_pointer pointer = session.shared_from_this();
    handshakes.erase(pointer);
    peer_record& peer = peers[session.peer().vm];
    if (peer.retry == nullptr)
    {
        peer.retry = std::make_shared<asio::steady_timer>(executor);
        peer.backoff = options.first_backoff;
    }
    const auto replaces = [&](const session_pointer& old)
    {
        return old && old != pointer && old->is_ready() &&
               (old->peer() != session.peer() || old->role() == session.role());
    };
    // Copies, because closing changes the record.
    for (const session_pointer& old :
         {session_pointer(peer.inbound), session_pointer(peer.outbound)})
    {
        if (replaces(old))
        {
            old->close();
        }
    }
    (session.role() == peer_role::server ? peer.inbound : peer.outbound) = pointer;
    if (!peer.sender)
    {
        peer.sender = pointer;
    }
    peer.backoff = options.first_backoff;
    peer.connecting = peer.connecting && session.role() == peer_role::server;
    flush_held(peer);
}

bool peer_link_state::session_payload(peer_session& session, std::string_view payload)
{
    const std::optional<fleet::message> message =
        leaf::try_handle_all([&]() -> leaf::result<std::optional<fleet::message>>
                             { return std::optional(BOOST_LEAF_CHECK(fleet::decode(payload))); },
                             [] { return std::optional<fleet::message>(); });
    if (!message || message->from != session.peer())
    {
        return false;
    }
    if (!closed)
    {
        handler(*message);
    }
    return true;
}

void peer_link_state::session_closed(peer_session& session)
{
    const session_pointer pointer = session.shared_from_this();
    const bool was_handshake = handshakes.erase(pointer) != 0;
    const auto found =
        std::find_if(peers.begin(), peers.end(),
                     [&](const auto& entry) {
                         return entry.second.inbound == pointer || entry.second.outbound == pointer;
                     });
    if (was_handshake || found == peers.end())
    {
        add(unauthenticated, session.counters());
        return;
    }
    peer_record& peer = found->second;
    add(peer.past, session.counters());
    const bool was_connecting = peer.outbound == pointer && !session.is_ready();
    (peer.inbound == pointer ? peer.inbound : peer.outbound).reset();
    if (peer.sender == pointer)
    {
        peer.sender = peer.inbound && peer.inbound->is_ready() ? peer.inbound : nullptr;
        if (!peer.sender && peer.outbound && peer.outbound->is_ready())
        {
            peer.sender = peer.outbound;
        }
    }
    if (!closed && !peer.sender && (was_connecting || !peer.connecting))
    {
        retry(found->first);
    }
}

void peer_link_state::send(const fleet::outgoing& message)
{
    const auto found = peers.find(message.to_vm);
    if (closed || found == peers.end())
    {
        ++unauthenticated.frames_dropped;
        return;
    }
    peer_record& peer = found->second;
    const std::optional<std::string> payload = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<std::string>> {
            return std::optional(
                BOOST_LEAF_CHECK(fleet::encode({options.session.self, message.body})));
        },
        [] { return std::optional<std::string>(); });
    if (!payload)
    {
        ++peer.past.frames_dropped;
    }
    else if (peer.sender)
    {
        peer.sender->send(*payload);
    }
    else if (peer.held.size() < options.max_held_messages)
    {
        peer.held.push_back({*payload, core::elapsed_now()});
    }
    else
    {
        // Old ones are worth least: their ages have grown.
        peer.held.pop_front();
        ++peer.past.frames_dropped;
        peer.held.push_back({*payload, core::elapsed_now()});
    }
}

void peer_link_state::flush_held(peer_record& peer)
{
    const core::time_point oldest = core::elapsed_now() - options.connect_hold;
    for (const held_message& message : std::exchange(peer.held, {}))
    {
        if (message.at < oldest || !peer.sender)
        {
            ++peer.past.frames_dropped;
        }
        else
        {
            peer.sender->send(message.payload);
        }
    }
}

void peer_link_state::close()
{
    if (closed)
    {
        return;
    }
    closed = true;
    error_code ignored;
    acceptor.close(ignored);
    std::vector<session_pointer> sessions(handshakes.begin(), handshakes.end());
    for (auto& [vm, peer] : peers)
    {
        if (peer.retry)
        {
            peer.retry->cancel();
        }
        sessions.insert(sessions.end(), {peer.inbound, peer.outbound});
    }
    for (const session_pointer& session : sessions)
    {
        if (session)
        {
            session->close();
        }
    }
}

} // namespace zinniaferry::net
