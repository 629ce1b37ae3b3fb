/// The configuration as plain structs. Operators publish it, and every daemon reads it.
#pragma once

#include "core/digest.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::config
{

/// Priorities of the route classes "order", "lookup" and "browse"; 0 is the most urgent.
inline constexpr std::uint32_t order_priority = 0;
inline constexpr std::uint32_t lookup_priority = 1;
inline constexpr std::uint32_t browse_priority = 2;

/// A region, and the weight by which it shares account rates with the other regions.
struct region
{
    std::string name;
    double weight = 1.0;

    bool operator==(const region&) const = default;
};

struct data_centre
{
    std::string name;
    std::string region;
    bool in_service = true; ///< Servers of a data centre that is out of service get no requests.

    bool operator==(const data_centre&) const = default;
};

struct account
{
    std::string name;
    std::vector<core::digest> keys; ///< SHA-256 of each valid key; two while a key is rotated.
    /// Takes precedence over the route's priority; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    double rate = 0.0;  ///< Requests/s over all VMs.
    double burst = 0.0; ///< Requests.

    bool operator==(const account&) const = default;
};

struct backend_server
{
    std::string name;
    std::string data_centre;
    std::string address;  ///< IP address and port.
    bool leaving = false; ///< Draining: gets no new requests.

    bool operator==(const backend_server&) const = default;
};

struct service
{
    std::string name;
    std::uint32_t slots = 2;             ///< Requests that one server runs concurrently.
    std::uint32_t max_connections = 250; ///< Per server, over all VMs.
    std::string health_path = "/health";
    core::duration warmup = std::chrono::seconds(3); ///< How long a server is cold after its start.
    double warmup_rate = 2.0; ///< Requests/s that a cold server can take, over all VMs.
    std::vector<backend_server> servers;

    bool operator==(const service&) const = default;
};

/// A service that gets a share of a route's requests, in proportion to `weight`.
struct weighted_service
{
    std::string service;
    double weight = 1.0;

    bool operator==(const weighted_service&) const = default;
};

struct route
{
    std::string host;   ///< Empty for any host.
    std::string prefix; ///< Of the path; see `prefix_matches`.
    std::string service;
    std::vector<weighted_service> split;      ///< Used instead of `service` unless it is empty.
    std::uint32_t priority = lookup_priority; ///< 0 is the most urgent.
    std::uint32_t attempts = 2;               ///< At most this many servers may run one request.
    core::duration objective = std::chrono::seconds(1); ///< Latency that callers expect.
    bool idempotent = true;                             ///< A request may run more than once.
    bool open = false;                                  ///< Requests need no account key.
    core::duration timeout = std::chrono::seconds(2);

    bool operator==(const route&) const = default;
};

/// Limits of a caller's connection.
struct caller_limits
{
    std::uint32_t header_bytes = 16U * 1024U;                 ///< Largest request header.
    std::uint64_t body_bytes = 4ULL * 1024 * 1024;            ///< Largest request body.
    core::duration header_timeout = std::chrono::seconds(10); ///< To receive a whole request.
    core::duration idle_timeout = std::chrono::seconds(60);   ///< Until a request begins.

    bool operator==(const caller_limits&) const = default;
};

struct configuration
{
    std::uint64_t version = 0;
    caller_limits limits;
    std::vector<region> regions;
    std::vector<data_centre> data_centres;
    std::vector<account> accounts;
    std::vector<service> services;
    std::vector<route> routes;

    bool operator==(const configuration&) const = default;
};

/// Returns the region's share of the accounts' rates, in (0, 1]; 1 when the region is not listed.
/// Thread safe while the configuration is not modified.
double region_share(const configuration& config, std::string_view region);

/// Returns whether the path begins with the prefix and the prefix ends at a segment boundary:
/// "/orders" matches "/orders", "/orders/7" and "/orders?x", but not "/ordersheet". Thread safe.
bool prefix_matches(std::string_view prefix, std::string_view path);

/// Returns the service that a request of the route goes to. For a split it is selected in
/// proportion to the weights by `fraction`, a uniformly distributed number in [0, 1). Thread safe
/// while the route is not modified.
const std::string& select_service(const route& route, double fraction);

} // namespace zinniaferry::config
