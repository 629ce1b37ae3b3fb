/// One load-balancer daemon: its listeners, its connections to other daemons, the replica of the
/// platform's entries, and a graceful stop that loses no request. A platform_adapter supplies what
/// differs between platforms.
#pragma once

#include "fleet/replica.hpp"
#include "net/gateway.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zinniaferry::net
{

/// An address that the daemon could not listen on.
struct listen_error
{
    std::string address;
    int error_number = 0; ///< errno; EINVAL for an address that cannot be parsed.
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const listen_error& error);

/// A backend server that the platform no longer lists.
struct removed_server
{
    std::string id;
};

/// A data centre that the platform takes out of service or puts back in.
struct data_centre_change
{
    std::string name;
    bool in_service = true;
};

/// A configuration that cannot be decoded.
struct unreadable_entry
{
};

/// Decoded meaning of a changed entry; std::monostate for an entry that the daemon does not use.
using published_change =
    std::variant<std::monostate, unreadable_entry, std::shared_ptr<const config::configuration>,
                 routing::listed_backend, removed_server, data_centre_change>;

/// What an adapter needs to keep the replica up to date. Precondition: the references outlive
/// platform_adapter::follow.
struct follow_context
{
    asio::io_context& io;
    fleet::replica& replica;
    event_log& log;
    std::function<void(const std::vector<fleet::entry_change>&)> on_changes; ///< Applies changes.
    std::function<bool()> must_follow; ///< Whether this daemon is to follow the platform now.
};

/// The operations that depend on the platform.
struct platform_adapter
{
    /// Keeps the replica up to date from the platform while follow_context::must_follow returns
    /// true.
    std::function<asio::awaitable<void>(follow_context)> follow;
    std::function<published_change(const fleet::entry_change&)> decode;
    std::function<std::uint64_t()> call_count; ///< Calls made to the platform since the start.
};

/// Limits that hold for the whole fleet, not for each daemon.
struct fleet_bounds
{
    double retry_budget_ratio = 0.1;     ///< Retries per request.
    double retry_budget_slack = 20.0;    ///< Retries that the fleet may save up.
    double probe_rate_per_server = 60.0; ///< Probes/s of each backend server, on average.
    limits::rate_tolerance account_rate_tolerance;
    /// Time in which a published configuration must be in force on every daemon.
    core::duration configuration_apply_time = std::chrono::seconds(2);
    double cold_overage = 1.0; ///< Factor on a cold server's warm-up rate that is tolerated.
    double cold_slack = 5.0;   ///< Requests/s to one cold server tolerated above that.
};

/// Settings that may change while the daemon runs.
struct reloadable_settings
{
    std::vector<std::string> seeds; ///< Peer addresses of some daemons; may be out of date.
    /// Data centres in which the fleet has daemons; nothing if the configuration lists them.
    std::optional<std::vector<std::string>> data_centres;
    fleet_bounds bounds;

    /// From the stop signal to the exit.
    core::duration stop_grace = std::chrono::seconds(6);
};

/// Options of a daemon. Only those in `settings` change while it runs.
struct daemon_options
{
    std::string vm;
    std::string data_centre;
    std::uint32_t link_mbps = 0;    ///< Capacity of the VM's link, Mbit/s; 0 if not known.
    std::uint64_t memory_bytes = 0; ///< That the process may take; 0 for no limit.
    std::size_t max_sockets = 0;    ///< Sockets and pipes; 0 for no limit.
    std::string region;             ///< Empty when rates are not divided between regions.
    std::string caller_address;     ///< Listener for callers; IP address and port, as all here.
    std::string peer_address;       ///< Listener for other daemons.
    std::string ready_address;      ///< Listener for readiness only; empty for none.
    std::string admin_address;    ///< Listener for metrics, readiness and the dump; empty for none.
    std::string admin_credential; ///< Bearer credential for the state dump; empty for no dump.
    http_profile profile;
    event_log_options log;
    reloadable_settings settings;
    /// Reads the settings again, on SIGHUP and every 5 s. Errors: document_error and file_error,
    /// after which the previous settings stay in force. Empty for settings that are not reloaded.
    std::function<core::result<reloadable_settings>()> reload;
};

/// Serves until a stop by SIGTERM or SIGINT is complete. Error: listen_error. Not thread safe.
core::result<void> run_daemon(const daemon_options& options, const platform_adapter& adapter);

} // namespace zinniaferry::net
