/// Rates of client accounts over the whole fleet. A hub holds a pool of requests for each account,
/// from which its members take grants; a member that reaches no hub has its part of the rate alone.
///
/// No pool is exclusive. A member names one hub as its own, and a hub fills its pools with the part
/// of the rate that belongs to the members that named it, out of all members known lately. So the
/// pools add up to the rate however the fleet is divided, but for the seconds in which views
/// differ. What the operators tolerate above the rate is divided among the pools, the requests sent
/// without a hub, and the pools of hubs that others turn to after a loss, so that the sum stays
/// within the tolerance although each of them is counted by itself.
#pragma once

#include "config/model.hpp"
#include "core/random.hpp"
#include "core/time.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace zinniaferry::limits
{

/// Requests above rate x window + burst that the operators tolerate in a window: a fraction of
/// these, and a number.
struct rate_tolerance
{
    double overage = 0.0;
    double slack = 0.0;
    core::duration window = std::chrono::seconds(5);
};

/// A token bucket.
struct token_bucket
{
    double rate = 0.0;  ///< Tokens/s.
    double depth = 0.0; ///< Tokens.
    double tokens = 0.0;
    core::time_point refilled_at;
};

/// A hub's pool for an account.
struct account_pool
{
    token_bucket bucket;
    double rate_share = 0.0; ///< Of the account's rate, in [0, 1].
    /// Part of the fleet whose members may still bring requests with them.
    token_bucket takeover_allowance = {.depth = 1.0, .tokens = 1.0};
};

/// What a member may send for an account while no hub answers.
struct standalone_quota
{
    token_bucket rate;    ///< Its part of the rate; empty when a hub takes over.
    token_bucket reserve; ///< Its part of the tolerance, less than a request for most accounts.
};

struct account_limit
{
    double rate = 0.0;  ///< Requests/s over the whole fleet; 0 for no limit.
    double burst = 0.0; ///< Requests.
};

/// Requests that a member may send for an account.
struct grant
{
    std::uint32_t requests = 0;
    core::duration retry_after{}; ///< When there are none: until there may be one.
};

struct account_grants
{
    std::uint32_t remaining = 0;
    core::time_point expires_at; ///< Unused ones end then.
};

struct fleet_size
{
    std::size_t primary_members = 0;        ///< Members that named this daemon as their hub.
    std::size_t members_known = 1;      ///< All members known lately.
    bool is_size_known = false; ///< Before, a daemon without a hub has no part of the rate.

    bool operator==(const fleet_size&) const = default;
};

struct account_pools
{
    rate_tolerance tolerance;
    double region_share = 1.0; ///< Of all rates, for this fleet's region.
    fleet_size fleet;
    bool alone = true;             ///< No hub is reached.
    core::random_generator random; ///< Rounds fractions of requests.
    std::unordered_map<std::string, account_limit> limits;
    std::unordered_map<std::string, account_pool> hub_pools; ///< This daemon's as a hub.
    std::unordered_map<std::string, standalone_quota> standalone_quotas;
    std::unordered_map<std::string, account_grants> grants; ///< Taken from the hub.
};

/// All functions: one thread at a time.

/// Takes over the limits. Pools of accounts that stay keep their tokens up to their new depth.
void apply_configuration(account_pools& pools, const config::configuration& config,
                         core::time_point now);

/// Sets how many members there are and how many named this daemon as their hub.
void set_fleet_size(account_pools& pools, const fleet_size& fleet, core::time_point now);

/// Says whether a hub is reached.
void set_standalone(account_pools& pools, bool standalone, core::time_point now);

bool is_limited(const account_pools& pools, const std::string& account);

/// Takes requests from this daemon's pool for a member. Small accounts get one at a time; others
/// more, so that not each request asks.
grant take_from_pool(account_pools& pools, const std::string& account, core::time_point now);

/// Takes one request from the grants at hand.
bool take_granted(account_pools& pools, const std::string& account, core::time_point now);

/// Keeps a grant of the hub.
void add_granted(account_pools& pools, const std::string& account, std::uint32_t requests,
                 core::time_point now);

/// Gives a request back that did not run.
void refund(account_pools& pools, const std::string& account, core::time_point now);

/// Takes one request without a hub.
grant take_standalone(account_pools& pools, const std::string& account, core::time_point now);

boost::json::object dump(const account_pools& pools);

} // namespace zinniaferry::limits
