/// Connections between daemons: serves this daemon's subscribers, and subscribes to its hubs.
#pragma once

#include "fleet/fleet_view.hpp"
#include "fleet/hub_choice.hpp"
#include "fleet/primary_statement.hpp"
#include "fleet/registry.hpp"
#include "fleet/replica.hpp"
#include "fleet/report_echoes.hpp"
#include "fleet/service_loads.hpp"
#include "limits/account_pools.hpp"
#include "net/grant_requests.hpp"
#include "net/shared_update.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace zinniaferry::net
{

/// Called on the io_context's thread.
struct hub_link_callbacks
{
    /// A hub's update was applied to the replica. The list holds the changes that took effect, and
    /// may be empty.
    std::function<void(const std::vector<fleet::entry_change>&)> on_changes;
    /// The view of the fleet has been computed again.
    std::function<void(const fleet::fleet_view&)> on_fleet_view;
    /// Members have used this daemon as their primary hub for so long, added up over the members.
    std::function<void(core::duration)> on_primary_time;
    /// Takes requests of an account from this daemon's pool, for a subscriber or for this daemon.
    std::function<limits::grant(const std::string&)> take_from_pool;
    std::function<void(const late_grant&)> on_late_grant;
    /// Returns the number of selections of a backend server since the start.
    std::function<std::uint64_t()> selection_count;
    /// Returns this daemon's loads of services for its next reports.
    std::function<std::vector<fleet::stated_load>()> loads_to_state;
    /// The primary hub, which may be this daemon, has formed the sums of the fleet's loads again.
    std::function<void(admission::fleet_load)> on_fleet_load;
};

/// Traffic with other daemons since the start.
struct hub_link_counters
{
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t grant_timeouts = 0;  ///< Grants that the primary hub did not send in time.
    std::uint64_t snapshots_out = 0;   ///< Sent to subscribers.
    std::uint64_t updates_encoded = 0; ///< Updates with changes, each for one or more subscribers.
};

/// Thread safety: the io_context's thread only. Precondition: all references outlive the hub_links.
class hub_links
{
public:
    hub_links(asio::io_context& io, fleet::member self, std::uint64_t incarnation,
              fleet::replica& replica, event_log& log, hub_link_callbacks callbacks);

    /// Replaces the seeds' peer addresses.
    void set_seeds(const std::vector<std::string>& seeds);

    /// Replaces the data centres in which the fleet has daemons; nothing while they are not known.
    void set_data_centres(std::optional<std::vector<std::string>> names);

    /// Accepts subscribers until the acceptor is closed.
    asio::awaitable<void> serve(asio::ip::tcp::acceptor& acceptor);

    /// Opens and closes the connections to the hubs, and reports to them. Does not return.
    asio::awaitable<void> run();

    /// Wakes the sending of the replica's latest changes to all subscribers.
    void notify_subscribers();

    /// Asks the primary hub for requests of the account. Returns nullopt when no primary hub is
    /// connected, or when it does not answer within 20 ms.
    asio::awaitable<std::optional<limits::grant>> request_grant(std::string account);

    /// Returns whether this daemon is to follow the platform itself; see
    /// fleet::must_follow_platform.
    bool must_follow_platform() const;

    /// Returns whether any hub has sent an update since the start.
    bool has_received_update() const { return received_update_; }

    const hub_link_counters& counters() const { return counters_; }
    /// Returns the state for the state dump.
    boost::json::object dump() const;

private:
    /// One connection to another daemon.
    struct link : peer_link
    {
        explicit link(asio::ip::tcp::socket connected)
            : peer_link(std::move(connected)), notification(socket.get_executor())
        {
        }

        asio::steady_timer notification; ///< Cancelled to wake send_updates.
        bool notification_pending = false;
        std::string vm;                         ///< Of a subscriber.
        subscriber_position position;           ///< Of a subscriber.
        std::uint64_t members_version_sent = 0; ///< To a subscriber: members_version.
        std::uint64_t last_report = 0;          ///< From a subscriber: number of its latest report.
        fleet::report_echoes echoes;            ///< To a hub: the reports that were sent.
        fleet::primary_statement statement;     ///< To a hub.
        bool is_late = false;                   ///< From a hub: its updates come late.
        std::vector<fleet::member> members;     ///< From a hub: the last list that was not empty.
        fleet::fleet_message last_fleet;        ///< From a hub: the last message.
    };
    using link_pointer = std::shared_ptr<link>;

    asio::awaitable<void> serve_subscriber(link_pointer subscriber);
    asio::awaitable<void> send_updates(link_pointer subscriber);
    /// Sends the changes that the subscriber lacks, and the age of the replica.
    void send_changes(link& subscriber);
    void log_snapshot(const encoded_update& update);
    void send_fleet(link& subscriber);
    void answer_grant_request(link& subscriber, const std::string& vm,
                              const fleet::ask_message& request);
    /// Fills this daemon's pools and takes requests of the account from them.
    limits::grant take_from_pool(const std::string& account);
    asio::awaitable<void> subscribe(std::string address);
    asio::awaitable<void> receive_from_hub(std::string address, link_pointer hub);
    void send_reports();
    void send_report(const std::string& address, link& hub);
    void update_selection_rate(core::time_point now);
    void handle_message(const std::string& address, link& hub, const fleet::hub_message& message);
    void handle_update(const std::string& address, link& hub, const fleet::update_message& update);
    /// Returns the time as of which the update is known to be current, and logs when updates begin
    /// and cease to be late.
    core::time_point current_as_of(const std::string& address, link& hub,
                                   const fleet::update_message& update);
    static void notify(link& subscriber);
    void report_fleet_view();
    /// Gives the sums of this daemon as its own primary hub to the callback.
    void report_own_sums(core::time_point now);
    /// Returns the sums for a subscriber; none for one that uses another primary hub.
    std::vector<fleet::stated_load> loads_for(const link& subscriber);
    void send(link& to, const fleet::hub_message& message,
              fleet::compression mode = fleet::compression::off);
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
    fleet::known_fleet known_fleet_;
    fleet::load_sums load_sums_;
    std::unordered_set<link_pointer> subscribers_;
    std::unordered_map<std::string, link_pointer> hubs_; ///< By address.
    shared_update shared_update_;
    grant_requests grant_requests_;
    std::optional<std::string> primary_hub_; ///< Address; may be this daemon's own.
    bool received_update_ = false;
    std::uint64_t selections_counted_ = 0; ///< At `selections_counted_at_`.
    core::time_point selections_counted_at_;
    hub_link_counters counters_;
};

} // namespace zinniaferry::net
