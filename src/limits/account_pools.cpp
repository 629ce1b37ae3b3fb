#include "limits/account_pools.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace zinniaferry::limits
{

namespace
{

/// Shares of the tolerance above the rate. The rest covers grants that are spent in a later window
/// than the one in which they were taken.
constexpr double pool_tolerance_share = 0.5;
constexpr double standalone_tolerance_share = 0.2;
/// Given at most once in a window by each hub that takes over members; two hubs may take over from
/// another within one window.
constexpr double takeover_tolerance_share = 0.1;
/// Unused grants add to the requests that may run in a window. All members together hold at most
/// this fraction of a pool.
constexpr double max_granted_fraction = 0.25;
/// Largest grant, and most granted requests that a daemon holds for an account.
constexpr std::uint32_t max_grant_requests = 16;
/// Unused grants expire after this time.
constexpr core::duration grant_lifetime = std::chrono::seconds(1);
/// Bounds of the retry time that a refusal states.
constexpr core::duration min_retry_after = std::chrono::milliseconds(50);
constexpr core::duration max_retry_after = std::chrono::seconds(10);
/// A daemon that lost its hub finds another one within this time.
constexpr core::duration hub_search_time = std::chrono::milliseconds(300);

double to_double(std::size_t value)
{
    return static_cast<double>(value);
}

// Requests in a window that the operators tolerate above the account's rate and burst.
double tolerated_excess(const account_pools& pools, const account_limit& limit)
{
    const double regular = limit.rate * core::to_seconds(pools.tolerance.window) + limit.burst;
    return regular * pools.tolerance.overage + pools.tolerance.slack;
}

double member_count(const account_pools& pools)
{
    return to_double(std::max<std::size_t>(pools.fleet.members_known, 1));
}

// Returns the share of the fleet's members whose primary hub is this daemon.
double own_share(const account_pools& pools)
{
    return std::min(1.0, to_double(pools.fleet.primary_members) / member_count(pools));
}

void resize_pool(account_pools& pools, const account_limit& limit, account_pool& pool,
                 core::time_point now)
{
    const double share = own_share(pools);
    const double factor = 1.0 + pools.tolerance.overage * pool_tolerance_share;
    const double depth = limit.burst * factor + pools.tolerance.slack * pool_tolerance_share;
    resize(pool.bucket, limit.rate * factor, depth * share, pools.pool_clock);
    // Members that join may have spent their share of the burst at another hub, so they add
    // only a small share of the tolerance.
    resize(pool.takeover_allowance, 1.0 / core::to_seconds(pools.tolerance.window), 1.0, now);
    const double joined_share =
        std::clamp(share - pool.rate_share, 0.0, pool.takeover_allowance.tokens);
    pool.takeover_allowance.tokens -= joined_share;
    const double takeover_tokens =
        joined_share * std::max(1.0, tolerated_excess(pools, limit) * takeover_tolerance_share);
    pool.bucket.tokens = std::min(pool.bucket.depth, pool.bucket.tokens + takeover_tokens);
    pool.rate_share = share;
}

void resize_standalone(const account_pools& pools, const account_limit& limit,
                       standalone_quota& quota, core::time_point now)
{
    const double members = member_count(pools);
    const double rate = pools.standalone && pools.fleet.is_size_known ? limit.rate / members : 0.0;
    resize(quota.rate, rate, std::max(1.0, limit.burst / members), now);
    // The depth and the refill of one window add up to the reserve, so each is half of it.
    const double depth =
        tolerated_excess(pools, limit) * standalone_tolerance_share / 2.0 / members;
    const double fill_rate = depth / core::to_seconds(pools.tolerance.window);
    resize(quota.reserve, pools.fleet.is_size_known ? fill_rate : 0.0, depth, now);
}

void resize_all(account_pools& pools, core::time_point now)
{
    for (const auto& [name, limit] : pools.limits)
    {
        resize_pool(pools, limit, pools.hub_pools[name], now);
        resize_standalone(pools, limit, pools.standalone_quotas[name], now);
    }
}

// Rounds the reserve to whole requests at random, so that the shares of all members add up to the
// total although each is only a fraction of a request.
void draw_reserve(account_pools& pools, standalone_quota& quota, core::time_point now)
{
    refill(quota.reserve, now);
    quota.rate.tokens += std::floor(quota.reserve.tokens + core::uniform(pools.random));
    quota.reserve.tokens = 0.0;
}

// `rate`: at which the bucket fills, tokens/s.
grant refused_grant(const token_bucket& bucket, double rate)
{
    // A bucket without a rate never refills; the next request waits until a hub is found.
    const double wait =
        rate > 0.0 ? (1.0 - bucket.tokens) / rate : core::to_seconds(hub_search_time);
    return {.retry_after = std::clamp(core::from_seconds(wait), min_retry_after, max_retry_after)};
}

} // namespace

const char* to_string(grant_source value)
{
    constexpr std::array names = {"hub", "standalone"};
    return names.at(static_cast<std::size_t>(value));
}

void apply_configuration(account_pools& pools, const config::configuration& config,
                         core::time_point now)
{
    pools.limits.clear();
    for (const config::account& account : config.accounts)
    {
        if (account.rate > 0.0)
        {
            pools.limits[account.name] = {.rate = account.rate * pools.region_share,
                                          .burst = account.burst * pools.region_share};
        }
    }
    const auto is_gone = [&](const auto& entry)
    {
        return !pools.limits.contains(entry.first);
    };
    std::erase_if(pools.hub_pools, is_gone);
    std::erase_if(pools.standalone_quotas, is_gone);
    std::erase_if(pools.grants, is_gone);
    resize_all(pools, now);
}

void set_fleet_size(account_pools& pools, const fleet_size& fleet, core::time_point now)
{
    if (fleet != pools.fleet)
    {
        pools.fleet = fleet;
        resize_all(pools, now);
    }
}

void set_standalone(account_pools& pools, bool standalone, core::time_point now)
{
    if (standalone == pools.standalone)
    {
        return;
    }
    pools.standalone = standalone;
    for (auto& [name, quota] : pools.standalone_quotas)
    {
        resize_standalone(pools, pools.limits[name], quota, now);
        quota.rate.tokens = 0.0;
    }
}

void advance_pool_clock(account_pools& pools, core::duration primary_time)
{
    const double members = std::max(member_count(pools), to_double(pools.fleet.primary_members));
    pools.pool_clock += core::from_seconds(core::to_seconds(primary_time) / members);
}

bool is_limited(const account_pools& pools, const std::string& account)
{
    return pools.limits.contains(account);
}

grant take_from_pool(account_pools& pools, const std::string& account)
{
    const auto found = pools.hub_pools.find(account);
    if (found == pools.hub_pools.end())
    {
        return {.requests = 1};
    }
    token_bucket& pool = found->second.bucket;
    refill(pool, pools.pool_clock);
    if (pool.tokens < 1.0)
    {
        return refused_grant(pool, pool.rate * found->second.rate_share);
    }
    const double share = pool.tokens * max_granted_fraction / member_count(pools);
    const auto requests = static_cast<std::uint32_t>(
        std::clamp(std::floor(share), 1.0, static_cast<double>(max_grant_requests)));
    pool.tokens -= requests;
    return {.requests = requests};
}

bool take_granted(account_pools& pools, const std::string& account, core::time_point now)
{
    const auto found = pools.grants.find(account);
    if (found == pools.grants.end() || found->second.remaining == 0 ||
        now >= found->second.expires_at)
    {
        return false;
    }
    --found->second.remaining;
    return true;
}

void add_granted(account_pools& pools, const std::string& account, std::uint32_t requests,
                 core::time_point asked_at, core::time_point now)
{
    const core::time_point expires_at = asked_at + grant_lifetime;
    account_grants& grants = pools.grants[account];
    const std::uint32_t unspent = now < grants.expires_at ? grants.remaining : 0;
    const bool holds_newer = unspent > 0 && expires_at < grants.expires_at;
    if (requests == 0 || now >= expires_at || holds_newer)
    {
        return;
    }
    grants = {.remaining = std::min(unspent + requests, max_grant_requests),
              .expires_at = expires_at};
}

void refund(account_pools& pools, const std::string& account, core::time_point now)
{
    if (is_limited(pools, account))
    {
        add_granted(pools, account, 1, now, now);
    }
}

grant take_standalone(account_pools& pools, const std::string& account, core::time_point now)
{
    const auto found = pools.standalone_quotas.find(account);
    if (found == pools.standalone_quotas.end())
    {
        return {.requests = 1};
    }
    token_bucket& bucket = found->second.rate;
    refill(bucket, now);
    if (bucket.tokens < 1.0)
    {
        draw_reserve(pools, found->second, now);
    }
    grant out = bucket.tokens < 1.0 ? refused_grant(bucket, bucket.rate) : grant{.requests = 1};
    out.source = grant_source::standalone;
    bucket.tokens -= out.requests;
    return out;
}

boost::json::object dump(const account_pools& pools)
{
    boost::json::object out;
    out["members_own"] = pools.fleet.primary_members;
    out["members_known"] = pools.fleet.members_known;
    out["alone"] = pools.standalone;
    boost::json::object accounts;
    for (const auto& [name, limit] : pools.limits)
    {
        const auto pool = pools.hub_pools.find(name);
        const auto grants = pools.grants.find(name);
        accounts[name] = {
            {"rate", limit.rate},
            {"burst", limit.burst},
            {"pool", pool == pools.hub_pools.end() ? 0.0 : pool->second.bucket.tokens},
            {"granted", grants == pools.grants.end() ? 0 : grants->second.remaining}};
    }
    out["accounts"] = std::move(accounts);
    return out;
}

} // namespace zinniaferry::limits
