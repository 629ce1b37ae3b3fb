/// What the load tool sends: accounts with their rates and routes with their weights.
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

struct account_load
{
    std::string name;
    std::string account_key;           ///< Sent as X-Zinnia-Key; empty for none.
    double rate = 0.0;         ///< Requests a second.
    double surge_factor = 1.0; ///< The rate is multiplied by this from surge_from to surge_to.
    seconds surge_start{0.0};
    seconds surge_end{0.0};
};

struct route_load
{
    std::string name;
    std::string method = "GET";
    std::string path;
    double weight = 1.0;
    bool idempotent = true;
    bool send_idempotency_key = false;         ///< Send Idempotency-Key and Idempotency-First-Sent.
    bool anonymous = false;                    ///< Send no account key.
    std::optional<milliseconds> deadline; ///< Sent as X-Zinnia-Deadline-Ms.
    milliseconds timeout{5000.0};         ///< The caller gives up after this.
    std::size_t body_bytes = 0;
};

struct traffic_mix
{
    std::vector<account_load> accounts;
    std::vector<route_load> routes;
};

/// Reads a mix from JSON with comments. Error: document_error. Thread safe.
core::result<traffic_mix> read_mix(std::string_view text, const std::string& file);

/// Scales the rates of all accounts so that their sum is `total`.
/// Precondition: the sum of the rates is above 0.
void scale_rates(traffic_mix& mix, double total_rate);

} // namespace zinniaferry::load
