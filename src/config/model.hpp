/// The configuration document as plain structs: what operators publish and every daemon reads.
#pragma once

#include "core/digest.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::config
{

/// Urgency of the classes that configurations name; 0 is the most urgent.
inline constexpr std::uint32_t order_priority = 0;
inline constexpr std::uint32_t lookup_priority = 1;
inline constexpr std::uint32_t browse_priority = 2;

/// A region with its weight in the split of account limits between regions.
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
    bool in_service = true;

    bool operator==(const data_centre&) const = default;
};

struct account
{
    std::string name;
    std::vector<core::digest> keys; ///< SHA-256 of each valid key; two during a rotation.
    /// Goes before the route's rank; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    double rate = 0.0;  ///< Requests a second over all VMs.
    double burst = 0.0; ///< Requests.

    bool operator==(const account&) const = default;
};

struct backend_server
{
    std::string name;
    std::string data_centre;
    std::string address; ///< IP number and port.
    bool leaving = false;

    bool operator==(const backend_server&) const = default;
};

struct service
{
    std::string name;
    std::uint32_t slots = 2;             ///< Requests that one server runs at once.
    std::uint32_t max_connections = 250; ///< Per server, over all VMs.
    std::string health_path = "/health";
    core::duration warmup = std::chrono::seconds(3); ///< How long a server is cold after its start.
    double warmup_rate = 2.0; ///< Requests/s that a cold server tolerates, over all VMs.
    std::vector<backend_server> servers;

    bool operator==(const service&) const = default;
};

/// A service that gets a part of a route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1.0;

    bool operator==(const weighted_service&) const = default;
};

struct route
{
    std::string host; ///< Empty for any host.
    std::string prefix;
    std::string service;
    std::vector<weighted_service> split; ///< Takes the place of `service` when it is not empty.
    std::uint32_t priority = lookup_priority;
    std::uint32_t attempts = 2; ///< Backend servers that may run one request.
    core::duration objective = std::chrono::seconds(1); ///< Latency that callers expect.
    bool idempotent = true;
    bool open = false; ///< Needs no key.
    core::duration timeout = std::chrono::seconds(2);

    bool operator==(const route&) const = default;
};

/// What a caller's connection may send and how long it may take.
struct caller_limits
{
    std::uint32_t header_bytes = 16U * 1024U;
    std::uint64_t body_bytes = 4ULL * 1024 * 1024;
    core::duration header_timeout = std::chrono::seconds(10);
    core::duration idle_timeout = std::chrono::seconds(60);

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

/// Returns the part of the accounts' rates that belongs to the region; 1 when the region is not
/// listed. Thread safe while the configuration is not modified.
double region_share(const configuration& config, std::string_view region);

/// Returns whether the prefix begins the path and ends at a segment's end: "/orders" matches
/// "/orders", "/orders/7" and "/orders?x", but not "/ordersheet". Thread safe.
bool prefix_matches(std::string_view prefix, std::string_view path);

/// Returns the service that a request of the route goes to. `at` in [0, 1) divides the requests of
/// a split by the weights of its parts. Thread safe while the route is not modified.
const std::string& select_service(const route& route, double fraction);

} // namespace zinniaferry::config
