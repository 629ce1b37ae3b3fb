/// State of the peer transport: listed peers, their connections and the retries. Used by
/// `peer_link` only; callbacks of sessions and timers keep it alive.
#pragma once

#include "core/random.hpp"
#include "net/peer_link.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <optional>
#include <set>

namespace zinniaferry::net
{

using session_pointer = std::shared_ptr<peer_session>;

struct held_message
{
    std::string payload;
    core::time_point at{};
};

// A VM that the link connects to or has a connection with.
struct peer_record
{
    std::optional<boost::asio::ip::tcp::endpoint> endpoint; ///< Set while the VM is listed.
    session_pointer inbound;                                ///< Accepted.
    session_pointer outbound;                               ///< Opened by this process.
    session_pointer sender; ///< One of the two; kept while open, for the order.
    std::shared_ptr<boost::asio::steady_timer> retry;
    core::duration backoff{};
    bool connecting = false;
    std::deque<held_message> held;
    link_counters past; ///< Of closed connections, and drops without one.
};

/// All functions run on the executor.
struct peer_link_state : std::enable_shared_from_this<peer_link_state>
{
    peer_link_state(boost::asio::any_io_executor m_executor, peer_link_options m_options,
                    message_handler m_handler)
        : executor(std::move(m_executor)), options(std::move(m_options)),
          handler(std::move(m_handler)), acceptor(executor), random(options.seed)
    {
    }

    boost::asio::any_io_executor executor;
    peer_link_options options;
    message_handler handler;
    boost::asio::ip::tcp::acceptor acceptor;
    core::random_generator random;
    std::map<std::string, peer_record> peers;
    std::set<session_pointer> handshakes; ///< Accepted, not authenticated.
    link_counters unauthenticated;
    std::uint64_t bad_addresses = 0;
    bool closed = false;

    core::result<void> open_listener();
    void accept();
    void take_socket(boost::asio::ip::tcp::socket socket);
    void set_peers(const std::vector<peer_address>& list);
    void connect(const std::string& vm);
    void connected(const std::string& vm, boost::asio::ip::tcp::socket socket);
    void retry(const std::string& vm);
    session_pointer make_session(boost::asio::ip::tcp::socket socket, peer_role role);
    void session_ready(peer_session& session);
    bool session_payload(peer_session& session, std::string_view payload);
    void session_closed(peer_session& session);
    void send(const fleet::outgoing& message);
    void flush_held(peer_record& peer);
    void close();
};

/// Adds counters of one connection to a sum. Thread safe.
void add(link_counters& sum, const link_counters& more);

} // namespace zinniaferry::net
