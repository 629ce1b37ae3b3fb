/// Everything that the requests of one daemon share: the configuration in force, the decisions'
/// state and the connections to backend servers.
#pragma once

#include "config/index.hpp"
#include "limits/account_pools.hpp"
#include "limits/repeat_budget.hpp"
#include "net/backend_connection_pool.hpp"
#include "net/event_log.hpp"
#include "net/request_durations.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace zinniaferry::net
{

struct gateway_options
{
    std::string vm;
    std::string data_centre;
    std::string region; ///< Empty when rates are not divided between regions.
    event_log_options log;
    std::uint64_t random_seed = 1;
};

struct gateway_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t caller_gone = 0;
    std::uint64_t repeats = 0; ///< Requests sent to a further backend server.
    std::array<std::uint64_t, request::refusal_reasons> refused{};
};

/// One thread: the io_context's.
struct gateway
{
    /// Precondition: `io` outlives the gateway.
    gateway(asio::io_context& io_context, http_profile header_profile,
            gateway_options initial_options);

    asio::io_context& io;
    const http_profile profile;
    const gateway_options options;
    std::shared_ptr<const config::index> configuration; ///< Null before the first.
    routing::backend_set backends;
    limits::account_pools accounts;
    /// Asks the fleet's hub for requests of an account; nothing when none answers in time.
    std::function<asio::awaitable<std::optional<limits::grant>>(std::string)> request_hub_grant;
    limits::repeat_budget retry_budget;
    backend_connection_pool backend_connections;
    event_log log;
    core::random_generator random;
    request_durations durations;
    gateway_counters counters;
    /// By host and prefix. Requests keep that of a route which is dropped.
    std::unordered_map<std::string, std::shared_ptr<routing::route_pace>> route_latencies;
    std::unordered_set<std::string> configured_servers; ///< Listed by the configuration itself.
    std::size_t requests_in_progress = 0;
    bool close_after_response = false;  ///< Connections end after the answer at hand.
    bool refuse_new_requests = false; ///< New requests are refused, because the daemon is about to exit.
};

/// Puts a configuration in force. One that is not newer than the present one is ignored, so that
/// a version never goes back. Returns whether it is in force now.
bool apply_configuration(gateway& gateway, std::shared_ptr<const config::configuration> config,
                         core::time_point now);

/// Takes over what the platform lists of a backend server.
void apply_server_listing(gateway& gateway, const routing::listed_backend& server, core::time_point now);
void remove_server(gateway& gateway, const std::string& id);

/// Takes a data centre out, or back in.
void set_data_centre_in_service(gateway& gateway, const std::string& name, bool in_service,
                     core::time_point now);

/// Returns the state for operators.
boost::json::object dump(const gateway& gateway, core::time_point now);

/// Takes one request of the account: from the grants at hand, from the hub, or, when no hub
/// answers, from this daemon's own part. Returns a grant of one request, or of none.
asio::awaitable<limits::grant> acquire_grant(gateway& gateway, std::string account);

/// Probes suspect servers that are due, and closes connections that are no longer of use.
void maintain(gateway& gateway, core::time_point now);

/// Returns the pace of the route, a new one for a route without requests so far.
std::shared_ptr<routing::route_pace> route_latency_of(gateway& gateway, const config::route& route);

/// Returns the path that a service's servers answer probes on.
std::string health_path(const gateway& gateway, const std::string& service);

} // namespace zinniaferry::net
