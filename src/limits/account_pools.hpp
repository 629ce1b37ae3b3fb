/// Distributed rate limits of client accounts, over the whole fleet. A hub is a daemon that keeps a
/// token bucket, the pool, for each account and grants requests from it to members of the fleet,
/// itself included. A member that reaches no hub is standalone and has a fixed share of the rate.
///
/// Several hubs may have a pool for one account. A member names one hub as its primary, and a hub
/// fills its pools at the share of the rate that its primary members are of all members known
/// recently. So the pools add up to the rate however the fleet is partitioned, except for the
/// seconds in which views of the fleet differ. What the operators tolerate above the rate is
/// divided between the pools, the standalone members, and the pools of hubs that take over members
/// after another hub was lost, so that the sum stays within the tolerance although each part is
/// counted independently.
#pragma once

#include "config/model.hpp"
#include "core/random.hpp"
#include "core/time.hpp"
#include "limits/token_bucket.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace zinniaferry::limits
{

/// Requests above `rate * window + burst` of an account that the operators tolerate in any window:
/// `overage * (rate * window + burst) + slack`.
struct rate_tolerance
{
    double overage = 0.0; ///< A fraction, such as 0.25.
    double slack = 0.0;   ///< Requests.
    core::duration window = std::chrono::seconds(5);
};

/// The pool that this daemon keeps for an account as a hub.
struct account_pool
{
    token_bucket bucket;     ///< Fills at the account's rate by the pool clock.
    double rate_share = 0.0; ///< Share of the fleet that uses this hub, in [0, 1].
    /// Bounds the extra tokens for members that change to this hub: its tokens are the share of the
    /// fleet for which the pool may still get some.
    token_bucket takeover_allowance = {.depth = 1.0, .tokens = 1.0};
};

/// What this daemon may admit for an account while it reaches no hub.
struct standalone_quota
{
    token_bucket rate;    ///< Its share of the rate; empty when the daemon becomes standalone.
    token_bucket reserve; ///< Its share of the tolerance, under one request for most accounts.
};

/// Rate limit of an account in this fleet.
struct account_limit
{
    double rate = 0.0;  ///< Requests/s over the whole fleet; 0 for no limit.
    double burst = 0.0; ///< Requests.
};

/// Which state decided on a grant.
enum class grant_source
{
    hub,       ///< The pool of the primary hub.
    standalone ///< This daemon's standalone quota, because no hub answered in time.
};

/// Returns the source's name in logs. Thread safe.
const char* to_string(grant_source value);

/// Requests that a member may admit for an account; none is a refusal.
struct grant
{
    std::uint32_t requests = 0;
    core::duration retry_after{}; ///< If there are none: time until there may be one.
    grant_source source = grant_source::hub;
};

/// Requests of an account that were granted to this daemon and not admitted yet.
struct account_grants
{
    std::uint32_t remaining = 0;
    core::time_point expires_at; ///< Unused requests are void from then on.
};

/// The size of the fleet as this daemon sees it.
struct fleet_size
{
    std::size_t primary_members = 0; ///< Members whose primary hub is this daemon.
    std::size_t members_known = 1;   ///< All members known recently.
    bool is_size_known = false;      ///< While false, a standalone daemon has no share of a rate.

    bool operator==(const fleet_size&) const = default;
};

/// All rate limits of one daemon, as a hub, as a member and standalone.
struct account_pools
{
    rate_tolerance tolerance;
    double region_share = 1.0; ///< Share of all rates that this region has.
    fleet_size fleet;
    bool standalone = true; ///< Whether this daemon reaches no hub.
    /// Clock of the pools that this daemon keeps as a hub; see advance_pool_clock.
    core::time_point pool_clock{std::chrono::seconds(1)};
    core::random_generator random; ///< For the random rounding of fractions of requests.
    std::unordered_map<std::string, account_limit> limits;   ///< By account, as all maps here.
    std::unordered_map<std::string, account_pool> hub_pools; ///< Kept by this daemon as a hub.
    std::unordered_map<std::string, standalone_quota> standalone_quotas;
    std::unordered_map<std::string, account_grants> grants; ///< Received from the hub.
};

/// Not thread safe: calls on one account_pools must not run concurrently.

/// Applies the accounts' limits. Buckets of accounts that stay keep their tokens, up to the new
/// depth.
void apply_configuration(account_pools& pools, const config::configuration& config,
                         core::time_point now);

/// Sets the size of the fleet and resizes all buckets accordingly.
void set_fleet_size(account_pools& pools, const fleet_size& fleet, core::time_point now);

/// Sets whether this daemon is standalone. A change empties the standalone rate buckets.
void set_standalone(account_pools& pools, bool standalone, core::time_point now);

/// Advances the clock by which pools fill. `primary_time` is the time for which members have used
/// this daemon as their primary hub, added up over the members: the clock keeps pace with the time
/// if all members did, and runs at half of it if half of them did.
void advance_pool_clock(account_pools& pools, core::duration primary_time);

/// Returns whether the account has a rate limit.
bool is_limited(const account_pools& pools, const std::string& account);

/// Takes requests from this daemon's pool and returns them as a grant for a member. Accounts with a
/// small pool get one at a time; others get more, so that not every request has to ask the hub. An
/// account without a limit gets one.
grant take_from_pool(account_pools& pools, const std::string& account);

/// Takes one request from the grants received before. Returns false when there is none.
bool take_granted(account_pools& pools, const std::string& account, core::time_point now);

/// Adds requests that the hub granted when it was asked at `asked_at`. They are dropped when they
/// are void by now, or would be void before the ones that the daemon holds.
void add_granted(account_pools& pools, const std::string& account, std::uint32_t requests,
                 core::time_point asked_at, core::time_point now);

/// Returns a request that did not run to the grants.
void refund(account_pools& pools, const std::string& account, core::time_point now);

/// Takes one request from the standalone quota. An account without a limit gets one.
grant take_standalone(account_pools& pools, const std::string& account, core::time_point now);

/// Returns the limits and buckets for the state dump of operators.
boost::json::object dump(const account_pools& pools);

} // namespace zinniaferry::limits
