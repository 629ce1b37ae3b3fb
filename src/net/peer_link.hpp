/// Peer transport over TCP: listens, connects, authenticates, bounds queues and rates, and hands
/// one-way messages in and out.
#pragma once

#include "core/error.hpp"
#include "fleet/messages.hpp"
#include "net/peer_session.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinniaferry::net
{

struct peer_link_options
{
    session_options session;    ///< Identity, fleet secret and bounds.
    std::string listen_address; ///< "IP:port"; port 0 takes a free one. Empty: no listener.
    core::duration first_backoff = std::chrono::milliseconds(50);
    core::duration backoff_limit = std::chrono::seconds(2);
    /// Messages to a listed peer wait so long for a connection. Longer waits would deliver old
    /// ages as if they were new.
    core::duration connect_hold = std::chrono::milliseconds(200);
    std::size_t max_held_messages = 64; ///< Per peer without a connection.
    std::size_t max_handshakes = 64;    ///< Accepted connections that are not authenticated.
    std::uint64_t seed = 0;             ///< Of the jitter of the back-off.
};

/// A peer to connect to.
struct peer_address
{
    std::string vm;
    std::string address; ///< "IP:port".
};

/// An address that is not "IP:port", or that cannot be listened on.
struct address_error
{
    std::string address;
    std::string detail;
    int error_number = 0; ///< errno.
};

/// Takes a message whose sender is the authenticated identity of the connection.
using message_handler = std::function<void(const fleet::message&)>;

struct peer_link_state;

/// The transport. All calls and the handler run on the given executor, which must not run two
/// handlers at once (a strand or a single-threaded context). Messages to one VM arrive at most
/// once and in order; any of them may be lost.
class peer_link
{
public:
    peer_link(boost::asio::any_io_executor executor, peer_link_options options,
              message_handler handler);
    /// Closes all connections. Callbacks that still run find the link closed.
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Opens the listener. Error: address_error.
    core::result<void> listen();

    /// Returns the port of the listener, 0 without one.
    std::uint16_t port() const;

    /// Replaces the peers to keep connected, without the own VM. Connections to other peers stay
    /// while the peer keeps them. An address that cannot be read is skipped and counted.
    void set_peers(const std::vector<peer_address>& peers);

    /// Sends a message if there is a connection to the VM, or soon is one.
    void send(const fleet::outgoing& message);
    void send(const std::vector<fleet::outgoing>& messages);

    /// Returns the names of the VMs that there is an authenticated connection to.
    std::vector<std::string> connected() const;

    /// Returns the counters of one VM over all of its connections, and the sum over all,
    /// including connections that were never authenticated.
    link_counters counters(const std::string& vm) const;
    link_counters total() const;

    boost::json::object dump() const;

    /// Closes the listener and all connections; nothing is sent or received after that.
    void close();

private:
    std::shared_ptr<peer_link_state> m_state;
};

} // namespace zinniaferry::net
