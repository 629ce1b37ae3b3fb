/// Connections between daemons: serves subscribers, and subscribes to this daemon's hubs.
#pragma once

#include "fleet/hub_choice.hpp"
#include "fleet/registry.hpp"
#include "fleet/replica.hpp"
#include "limits/account_pools.hpp"
#include "net/deadline_timer.hpp"
#include "net/event_log.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace zinniaferry::net
{

namespace asio = boost::asio;

/// What this daemon knows of the fleet.
struct fleet_view
{
    std::vector<std::string> members; ///< VMs heard lately, this one included.
    std::size_t members_known = 1;    ///< Also those that vanished lately.
    std::size_t members_own = 0;      ///< Those that named this daemon as their hub.
    bool hub_reachable = false;
    bool is_size_known = false; ///< Some daemon has had time to hear of every member.
};

struct hub_link_callbacks
{
    /// The replica has changed through a hub.
    std::function<void(const std::vector<fleet::entry_change>&)> on_changes;
    std::function<void(const fleet_view&)> on_fleet_view;
    /// A member asks for requests of an account.
    std::function<limits::grant(const std::string&)> take_from_pool;
};

struct hub_link_counters
{
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

/// One thread: the io_context's. All references outlive the links.
class hub_links
{
public:
    hub_links(asio::io_context& io, fleet::member self, std::uint64_t incarnation,
              fleet::replica& replica, event_log& log, hub_link_callbacks callbacks);

    void set_seeds(const std::vector<std::string>& seeds);

    /// Accepts subscribers until the acceptor is closed.
    asio::awaitable<void> serve(asio::ip::tcp::acceptor& acceptor);

    /// Keeps the connections to the hubs.
    asio::awaitable<void> run();

    /// Sends the replica's latest changes to the subscribers.
    void notify_subscribers();

    /// Asks the hub for requests of the account; nothing when no hub answers in time.
    asio::awaitable<std::optional<limits::grant>> request_grant(std::string account);

    /// Returns whether this daemon reads the platform itself.
    bool must_follow_platform() const;

    /// Returns whether a hub has told what it knows since the start.
    bool has_received_update() const { return received_update_; }

    const hub_link_counters& counters() const { return counters_; }
    boost::json::object dump() const;

private:
    /// One connection to another daemon.
    struct link
    {
        explicit link(asio::ip::tcp::socket connected)
            : socket(std::move(connected)), write_timer(socket), notification(socket.get_executor()),
              outbox_filled(socket.get_executor())
        {
        }

        asio::ip::tcp::socket socket;
        deadline_timer write_timer; ///< Of the writing side.
        asio::steady_timer notification;
        asio::steady_timer outbox_filled;
        std::deque<std::string> outbox;
        bool notification_pending = false;
        bool closed = false;
        std::uint64_t sent_sequence = 0;    ///< Of the replica.
        std::uint64_t members_version_sent = 0;     ///< Version of the members as told last.
        std::vector<fleet::member> members; ///< As the hub told last.
        fleet::fleet_message last_fleet;          ///< By the hub.
    };
    using link_pointer = std::shared_ptr<link>;

    /// An ask that waits for its grant.
    struct pending_request
    {
        explicit pending_request(asio::io_context& io) : answered(io) {}

        asio::steady_timer answered;
        std::optional<limits::grant> grant;
    };

    asio::awaitable<void> write_frames(link_pointer to);
    asio::awaitable<void> serve_subscriber(link_pointer subscriber);
    asio::awaitable<void> send_updates(link_pointer subscriber);
    void send_changes(link& subscriber);
    void send_fleet(link& subscriber);
    void answer_grant_request(link& subscriber, const fleet::ask_message& request);
    asio::awaitable<void> subscribe(std::string address);
    asio::awaitable<void> receive_from_hub(std::string address, link_pointer hub);
    void send_reports();
    void handle_message(const std::string& address, link& hub, const fleet::hub_message& message);
    void handle_update(const std::string& address, const fleet::update_message& update);
    void handle_grant(const fleet::grant_message& message);
    void report_fleet_view();
    void send(link& to, const fleet::hub_message& message);
    asio::awaitable<std::optional<fleet::hub_message>> receive(link& from);
    asio::awaitable<void> wait_for_notification(link& connection, core::duration time);
    static void close(link& connection);

    asio::io_context& io_;
    std::uint64_t incarnation_;
    fleet::replica& replica_;
    event_log& log_;
    hub_link_callbacks callbacks_;
    fleet::hub_choice choice_;
    fleet::registry registry_;
    fleet::member_cache member_cache_;
    std::unordered_set<link_pointer> subscribers_;
    std::unordered_map<std::string, link_pointer> hubs_; ///< By address.
    std::unordered_map<std::uint64_t, pending_request*> pending_requests_;
    std::uint64_t next_request_number_ = 1;
    std::optional<std::string> primary_hub_;
    bool received_update_ = false;
    hub_link_counters counters_;
};

} // namespace zinniaferry::net
