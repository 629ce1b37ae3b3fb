/// The traffic mix that the load generator sends: accounts with their request rates, and routes
/// with their weights.
#pragma once

#include "core/error.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::load
{

using milliseconds = std::chrono::duration<double, std::milli>;
using seconds = std::chrono::duration<double>;

/// The traffic of one client account.
struct account_load
{
    std::string name;
    std::string account_key;   ///< Sent as X-Zinnia-Key; if empty, none is sent.
    double rate = 0.0;         ///< Requests per second.
    double surge_factor = 1.0; ///< Factor on the rate between surge_start and surge_end.
    seconds surge_start{0.0};  ///< From the start of the run.
    seconds surge_end{0.0};    ///< From the start of the run.
};

/// One kind of request that every account sends.
struct route_load
{
    std::string name; ///< Shown in records and reports; by default the path.
    std::string method = "GET";
    std::string path;                     ///< Starts with "/" and has no query.
    double weight = 1.0;                  ///< Share of the requests, relative to other routes.
    bool idempotent = true;               ///< Servers may execute the request more than once.
    bool send_idempotency_key = false;    ///< Send Idempotency-Key and Idempotency-First-Sent.
    bool anonymous = false;               ///< Send no account key.
    std::optional<milliseconds> deadline; ///< Sent as X-Zinnia-Deadline-Ms.
    milliseconds timeout{5000.0};         ///< Time after which the client gives up.
    std::size_t body_bytes = 0;           ///< Size of the request body.
};

/// Accounts and routes of a run; every account sends to all routes.
struct traffic_mix
{
    std::vector<account_load> accounts;
    std::vector<route_load> routes;
};

/// Reads a mix from JSON with comments. Error: document_error. Thread safe.
core::result<traffic_mix> read_mix(std::string_view text, const std::string& file);

/// Scales the rates of all accounts so that their sum is `total_rate`, in requests per second.
/// Precondition: the sum of the rates is above 0.
void scale_rates(traffic_mix& mix, double total_rate);

} // namespace zinniaferry::load
