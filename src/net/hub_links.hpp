/// Connections between daemons: serves subscribers, and subscribes to this daemon's hubs.
#pragma once

#include "fleet/hub_choice.hpp"
#include "fleet/registry.hpp"
#include "fleet/replica.hpp"
#include "net/deadline_timer.hpp"
#include "net/event_log.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace zinniaferry::net
{

namespace asio = boost::asio;

struct hub_events
{
    /// The replica has changed through a hub.
    std::function<void(const std::vector<fleet::entry_change>&)> changed;
    /// What the fleet demands is known anew.
    std::function<void(const fleet::fleet_message&)> fleet;
    /// Returns this daemon's demand.
    std::function<std::vector<fleet::account_demand>()> own_demand;
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
              fleet::replica& replica, event_log& log, hub_events events);

    void set_seeds(const std::vector<std::string>& seeds);

    /// Accepts subscribers until the acceptor is closed.
    asio::awaitable<void> serve(asio::ip::tcp::acceptor& acceptor);

    /// Keeps the connections to the hubs, and tells the fleet's state once a second.
    asio::awaitable<void> run();

    /// Sends the replica's latest changes to the subscribers.
    void publish();

    /// Returns whether this daemon reads the platform itself.
    bool must_follow_platform() const;

    std::size_t subscribers() const { return subscribers_.size(); }
    const hub_link_counters& counters() const { return counters_; }
    boost::json::object dump() const;

private:
    /// One connection to another daemon.
    struct link
    {
        explicit link(asio::io_context& io) : socket(io), timer(socket), wake(io) {}
        explicit link(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted)), timer(socket), wake(socket.get_executor())
        {
        }

        asio::ip::tcp::socket socket;
        deadline_timer timer; ///< Of the writing side.
        asio::steady_timer wake;
        bool notified = false;
        bool closed = false;
        std::uint64_t sent_sequence = 0;   ///< Of the replica.
        std::size_t members_sent = 0;      ///< Hash of the members in the last fleet message.
        std::vector<fleet::member> members; ///< As the hub told last.
    };
    using link_pointer = std::shared_ptr<link>;

    asio::awaitable<void> serve_subscriber(link_pointer subscriber);
    asio::awaitable<void> feed_subscriber(link_pointer subscriber);
    asio::awaitable<bool> send_changes(link& subscriber);
    asio::awaitable<bool> send_fleet(link& subscriber);
    asio::awaitable<void> subscribe(std::string address);
    asio::awaitable<void> report_to_hub(link_pointer hub);
    void take(const std::string& address, link& hub, const fleet::hub_message& message);
    void take_update(const std::string& address, const fleet::update_message& update);
    void take_fleet(link& hub, fleet::fleet_message message);
    void tell_fleet();
    asio::awaitable<bool> send(link& to, const fleet::hub_message& message);
    asio::awaitable<std::optional<fleet::hub_message>> receive(link& from);
    asio::awaitable<void> wait(link& on, core::duration time);
    static void close(link& which);

    asio::io_context& io_;
    std::uint64_t incarnation_;
    fleet::replica& replica_;
    event_log& log_;
    hub_events events_;
    fleet::hub_choice choice_;
    fleet::registry registry_;
    std::unordered_set<link_pointer> subscribers_;
    std::unordered_map<std::string, link_pointer> hubs_; ///< By address.
    std::unordered_map<std::string, fleet::fleet_message> told_; ///< By the hub's address.
    hub_link_counters counters_;
};

} // namespace zinniaferry::net
