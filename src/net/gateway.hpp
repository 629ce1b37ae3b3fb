/// State shared by all requests of one daemon: the configuration in force, the state of routing and
/// rate limiting, and the connections to backend servers.
#pragma once

#include "admission/overload.hpp"
#include "admission/priority_admission.hpp"
#include "admission/service_load.hpp"
#include "admission/stated_deadlines.hpp"
#include "admission/stop_schedule.hpp"
#include "admission/waiting_queue.hpp"
#include "config/index.hpp"
#include "limits/account_pools.hpp"
#include "limits/probe_budget.hpp"
#include "limits/retry_budget.hpp"
#include "net/backend_connection_pool.hpp"
#include "net/event_log.hpp"
#include "net/request_durations.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace zinniaferry::net
{

struct gateway_options
{
    std::string vm; ///< Name of this daemon's VM.
    std::string data_centre;
    std::string region; ///< Empty when rates are not divided between regions.
    event_log_options log;
    std::uint64_t random_seed = 1;
    std::uint64_t memory_bytes = 0; ///< That the process may take; 0 for no limit.
};

/// Requests since the start of the daemon.
struct gateway_counters
{
    std::uint64_t requests = 0;    ///< Received and parsed.
    std::uint64_t answered = 0;    ///< Answered with a backend server's response.
    std::uint64_t caller_gone = 0; ///< Cancelled because the caller disconnected.
    std::uint64_t repeats = 0;     ///< Retries and hedges: attempts after a request's first.
    std::uint64_t selections = 0;  ///< Selections of a backend server.
    std::uint64_t unprobed_selections = 0; ///< Selections without a probe, for lack of budget.
    std::uint64_t connections_closed = 0;  ///< Of callers, for lack of descriptors.
    /// By refusal_reason. Includes requests that could not be parsed, which `requests` does not.
    std::array<std::uint64_t, request::refusal_reason_count> refused{};
    /// Rejected for lack of capacity, by admission::priority_level.
    std::array<std::uint64_t, admission::priority_levels> rejected_by_priority{};
    std::uint64_t not_admitted = 0; ///< Of those, the ones rejected at their arrival.
};

/// What this daemon has learned from the requests of a route.
struct route_statistics
{
    routing::route_latency latency;
    admission::stated_deadlines deadlines;
};

/// Requests that wait for a server of one service.
struct service_waiters
{
    admission::waiting_queue queue;
    std::unordered_map<std::uint64_t, std::function<void()>> wake_by_id; ///< Of those in the queue.
    std::uint64_t last_id = 0;
};

/// Thread safety: the io_context's thread only; this holds for all functions of this header.
struct gateway
{
    /// Precondition: `io_context` outlives the gateway.
    gateway(asio::io_context& io_context, http_profile header_profile,
            gateway_options initial_options);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    asio::io_context& io;
    const http_profile profile;
    const gateway_options options;
    std::shared_ptr<const config::configuration_index>
        configuration; ///< In force; null before the first.
    /// Called when the first configuration comes into force, and cleared then.
    std::vector<std::function<void()>> on_first_configuration;
    const core::time_point started_at = core::boot_clock_now();
    /// All versions that were published before this time are known.
    core::time_point configuration_current_as_of;
    /// The latest published configuration could not be decoded, so the one in force is outdated.
    bool newer_configuration_unreadable = false;
    /// Time in which a published configuration must be in force. A configuration that may have been
    /// replaced for longer does not refuse requests as unknown.
    core::duration configuration_apply_time = std::chrono::seconds(2);
    routing::backend_set backends;
    limits::account_pools accounts;
    /// Asks the fleet's hub for a grant for an account; returns nothing if no hub responds in time.
    std::function<asio::awaitable<std::optional<limits::grant>>(std::string)> request_hub_grant;
    limits::retry_budget retry_budget;
    limits::probe_budget probe_budget;
    /// Of all bodies in memory. Shared with what takes room in it and may outlive the gateway.
    std::shared_ptr<body_room> bodies;
    backend_connection_pool backend_connections;
    event_log log;
    core::random_generator random;
    request_durations durations;
    gateway_counters counters;
    /// By host and prefix. Requests in progress share ownership of those of a dropped route.
    std::unordered_map<std::string, std::shared_ptr<route_statistics>> route_statistics_by_name;
    std::unordered_map<std::string, admission::overload> overloads; ///< By service.
    /// Services whose requests may be of different priority; from the configuration in force.
    std::unordered_set<std::string> prioritised_services;
    std::unordered_map<std::string, admission::priority_admission> priority_admissions; ///< Theirs.
    std::unordered_map<std::string, service_waiters> waiters; ///< By service.
    /// Requests that wait for a server now, by admission::priority_level.
    std::array<std::size_t, admission::priority_levels> waiting_by_priority{};
    /// This daemon's load of each service. References are not kept across a suspension, as the
    /// meter of a service that left the configuration is erased once it is idle.
    std::unordered_map<std::string, admission::load_meter> load_meters;
    admission::fleet_load fleet_load;                   ///< As the primary hub last sent it.
    std::unordered_set<std::string> configured_servers; ///< Ids of the configuration's servers.
    std::size_t requests_in_progress = 0;
    bool close_after_response = false; ///< Close callers' connections after the current response.
    std::optional<admission::stop_schedule> stop; ///< Set while the daemon stops.
};

/// Puts a configuration in force unless its version is not newer than that of the current one, so
/// that the version never decreases. Returns whether it was put in force.
bool apply_configuration(gateway& gateway, std::shared_ptr<const config::configuration> config,
                         core::time_point now);

/// Records that all configurations published before `time` are known. Has no effect while the
/// latest one is unreadable.
void set_configuration_current_as_of(gateway& gateway, core::time_point time);

/// Returns for how long a newer configuration may have been published without this daemon knowing.
core::duration configuration_age(const gateway& gateway, core::time_point now);

/// Returns the refusal of a request for which the configuration in force has no route or no
/// account: `reason` if that configuration is current, and otherwise that it is outdated.
request::refusal refuse_unknown(const gateway& gateway, request::refusal_reason reason,
                                core::time_point now);

/// Adds or updates a backend server as listed by the platform or the configuration.
void apply_server_listing(gateway& gateway, const routing::listed_backend& server,
                          core::time_point now);
void remove_server(gateway& gateway, const std::string& id);

/// Takes a data centre out of service, or back into service.
void set_data_centre_in_service(gateway& gateway, const std::string& name, bool in_service,
                                core::time_point now);

/// Returns a summary of the state for operators.
boost::json::object dump(const gateway& gateway, core::time_point now);

/// Applies the account's rate limit to one request: takes it from unused grants, from the hub or,
/// if no hub responds in time, from this daemon's standalone quota or a late grant. Returns a grant
/// of one request, or of none.
asio::awaitable<limits::grant> acquire_grant(gateway& gateway, std::string account);

/// Records and logs what a response says of its server.
void record_server_notice(gateway& gateway, const routing::server_lifetime& server,
                          const parsed_notice& parsed, routing::notice_source source);

/// Starts the due trial probes of suspect servers, ends the notices of servers whose time has
/// passed, and closes stale connections to backend servers. To be called periodically.
void maintain(gateway& gateway, core::time_point now);

/// Returns the statistics of the route, creating them on the route's first request.
std::shared_ptr<route_statistics> statistics_of(gateway& gateway, const config::route& route);

/// Sends a probe on the server's connection, and takes it from the probe budget.
asio::awaitable<probe_result> send_probe(gateway& gateway, const routing::backend& server,
                                         backend_connection_pointer connection,
                                         probe_purpose purpose, core::duration timeout);

} // namespace zinniaferry::net
