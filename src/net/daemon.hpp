/// One entry daemon: its listeners, its peers, the state that the platform publishes, and a stop
/// that loses no request. What differs between platforms is given by an adapter.
#pragma once

#include "fleet/replica.hpp"
#include "net/gateway.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace zinniaferry::net
{

/// An address that the daemon could not listen on.
struct listen_error
{
    std::string address;
    int error_number = 0;
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const listen_error& error);

struct removed_server
{
    std::string id;
};

struct data_centre_change
{
    std::string name;
    bool in_service = true;
};

/// What a change of a published entry means; std::monostate for an entry of no interest, and an
/// unreadable_entry for one that cannot be read.
struct unreadable_entry
{
};
using published_change =
    std::variant<std::monostate, unreadable_entry, std::shared_ptr<const config::configuration>,
                 routing::listed_backend, removed_server, data_centre_change>;

/// What an adapter needs to keep the replica up to date. The references outlive the adapter's work.
struct follow_context
{
    asio::io_context& io;
    fleet::replica& replica;
    event_log& log;
    std::function<void(const std::vector<fleet::entry_change>&)> on_changes;
    std::function<bool()> must_follow; ///< Whether this daemon reads the platform now.
};

struct platform_adapter
{
    std::function<asio::awaitable<void>(follow_context)> follow;
    std::function<published_change(const fleet::entry_change&)> decode;
    std::function<std::uint64_t()> call_count; ///< Made to the platform since the start.
};

/// Bounds that hold for the whole fleet.
struct fleet_bounds
{
    double retry_budget_ratio = 0.1;
    double retry_budget_slack = 20.0;
    limits::rate_tolerance account_rate_tolerance;
    double cold_overage = 1.0;
    double cold_slack = 5.0;
};

/// Settings that may change while the daemon runs.
struct reloadable_settings
{
    std::vector<std::string> seeds;
    fleet_bounds bounds;

    core::duration stop_grace = std::chrono::seconds(6);
};

struct daemon_options
{
    std::string vm;
    std::string data_centre;
    std::string region; ///< Empty when rates are not divided between regions.
    std::string caller_address;
    std::string peer_address;
    std::string ready_address;    ///< Readiness only; empty for none.
    std::string admin_address;    ///< Metrics, readiness and the state dump; empty for none.
    std::string admin_credential; ///< For the state dump; empty for no dump.
    http_profile profile;
    event_log_options log;
    reloadable_settings settings;
    /// Reads the settings again, on SIGHUP and from time to time. Errors: document_error and
    /// file_error; the settings stay as they are then.
    std::function<core::result<reloadable_settings>()> reload;
};

/// Serves until SIGTERM or SIGINT has been carried out. Error: listen_error. Not thread safe.
core::result<void> run_daemon(const daemon_options& options, const platform_adapter& adapter);

} // namespace zinniaferry::net
