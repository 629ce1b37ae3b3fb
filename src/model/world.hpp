/// The state of one run of the model: the fleet, the store, the backend servers and what they saw.
///
/// Modelled in a few lines: the processes and their timers, the connections between daemons
/// (net/hub_links), the reads of the store (platform/store_follower), and the steps of a request
/// (net/request_handler, net/backend_selection). Real code: replicas, choice of hubs, registries,
/// account limits, retry budgets, configuration index, routing, progress of requests, and the
/// gateway's functions that put changes in force. Not modelled: sockets, HTTP, the decoding of
/// entries, probe budgets, the stop of a process by a signal, and the reload of settings.
#pragma once

#include "fleet/fleet_view.hpp"
#include "fleet/hub_choice.hpp"
#include "fleet/primary_statement.hpp"
#include "fleet/registry.hpp"
#include "fleet/replica_updates.hpp"
#include "fleet/report_echoes.hpp"
#include "model/bounds.hpp"
#include "model/history.hpp"
#include "model/injection.hpp"
#include "model/network.hpp"
#include "model/store.hpp"
#include "net/gateway.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::model
{

/// A connection between two daemons, as both ends see it.
struct hub_connection
{
    std::size_t subscriber = 0; ///< Daemon.
    std::size_t hub = 0;        ///< Daemon.
    std::uint64_t subscriber_process = 0;
    std::uint64_t hub_process = 0;
    bool open_at_subscriber = false;
    bool open_at_hub = false;
    fleet::subscriber_position position; ///< What the hub has sent.
    std::uint64_t last_report = 0;       ///< Number of the latest report, as the hub received it.
    fleet::report_echoes echoes;         ///< Of the subscriber's reports.
    fleet::primary_statement statement;  ///< Of the subscriber.
    std::uint64_t members_version_sent = 0; ///< registry::members_version.
    std::vector<fleet::member> members;     ///< As the subscriber received them.
    fleet::fleet_message last_fleet;        ///< As the subscriber received it.
};

using hub_connection_pointer = std::shared_ptr<hub_connection>;

/// A request for a grant that the hub has not answered.
struct pending_grant
{
    std::string account;
    core::time_point asked_at;
    /// Empty after the timeout. Called with nothing when the hub does not answer in time.
    std::function<void(std::optional<limits::grant>)> on_answer;
};

/// What a daemon loses when its process ends.
struct process
{
    std::uint64_t number = 0; ///< Differs between all processes of the fleet.
    fleet::replica replica;
    fleet::hub_choice hubs;
    fleet::registry registry;
    fleet::known_fleet known_fleet;
    std::unique_ptr<net::gateway> gateway;
    /// The configuration before the one in force, for injections.
    std::shared_ptr<const config::configuration_index> previous_configuration;
    core::time_point configuration_applied_at;
    std::vector<hub_connection_pointer> subscribers;
    std::map<std::string, hub_connection_pointer> hub_connections; ///< By address.
    std::optional<std::string> primary_hub;
    core::time_point next_report_at;
    bool received_update = false;
    bool ready = false;
    bool needs_full_read = false;
    bool watch_failed = false; ///< The last watch failed; a full read may have come since.
    std::map<std::uint64_t, pending_grant> pending_grants; ///< By number.
    std::uint64_t next_grant = 1;
};

struct daemon
{
    fleet::member identity;
    std::string data_centre;
    std::unique_ptr<process> running;  ///< Null while the process does not run.
    core::time_point suspended_until;  ///< The VM is suspended before.
    core::duration total_suspension{}; ///< The steady clock is behind by it.
};

/// Requests that a backend server runs at once.
inline constexpr std::uint32_t server_slots = 6;

/// A backend server. It works on requests whether it is listed or not, until it ends.
struct backend_server
{
    std::string id;
    std::string service;
    std::string data_centre;
    std::uint64_t incarnation = 1;
    bool up = true;
    core::time_point cold_until;
    core::time_point failing_until; ///< Loses or refuses requests before.
    std::uint32_t running = 0;      ///< Requests.
};

/// Precondition of all functions that take a world: it stays at its address while the queue has
/// actions. None of them is thread safe for the same world.
struct world
{
    event_queue queue;
    network net;
    model::store store;
    std::vector<daemon> daemons;
    std::vector<std::size_t> seeds;                ///< Daemons whose addresses are in the settings.
    std::map<std::string, backend_server> servers; ///< By id.
    std::map<std::string, routing::listed_backend> listings; ///< By value of a store entry.
    model::history history;
    model::bounds bounds;
    model::injection injected = injection::none;
    std::map<std::string, core::time_point> storms; ///< By account: sends far above its rate until.
    bool store_down = false;                        ///< For all daemons and the operator.
    core::random_generator random;
    core::random_generator restoration_random; ///< For restorations of the store only.
    core::random_generator cut_random;         ///< For restarts behind a partition only.
    boost::asio::io_context io;                ///< Never run; gateways keep a reference.
    std::uint64_t next_process = 1;
};

/// Store keys of the model; the value of the first is the index of the configuration in
/// history::configurations.
inline constexpr const char* configuration_key = "configuration";
inline constexpr std::string_view server_key_prefix = "servers/";
inline constexpr std::string_view evacuation_key_prefix = "evacuations/";

/// Returns the node of the store in world::net.
node store_node(const world& world);

/// Runs the action at `at` in the process that runs now, as the arrival of a message: after the end
/// of a suspension of the VM, and not at all when the process has ended.
void run_at(world& world, std::size_t daemon, core::time_point at, action run);

/// Runs the action after `delay` of the daemon's steady clock, which stops while the VM is
/// suspended. Otherwise like run_at.
void run_after(world& world, std::size_t daemon, core::duration delay, action run);

/// Sends a message between daemons. It is not delivered when the receiver's process that runs now
/// has ended by then.
void send_to_daemon(world& world, std::size_t from, std::size_t to, std::size_t bytes, action run);

/// Starts the daemon's process. Precondition: it does not run.
void start_process(world& world, std::size_t daemon);
/// Ends the process. Its peers learn that their connections were closed.
void kill_process(world& world, std::size_t daemon);
/// Suspends the daemon's VM.
void suspend(world& world, std::size_t daemon, core::duration time);

/// Puts the changes in force and forwards them to the subscribers.
void apply_changes(world& world, std::size_t daemon,
                   const std::vector<fleet::entry_change>& changes);

} // namespace zinniaferry::model
