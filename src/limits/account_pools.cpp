#include "limits/account_pools.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::limits
{

namespace
{

/// Part of the tolerance that pools use; the rest covers views that differ.
constexpr double used_tolerance = 0.6;
/// Grants that members hold unused add to what may run in a window. All members together hold at
/// most this part of a pool.
constexpr double granted_part = 0.25;
constexpr std::uint32_t max_grant = 16;
constexpr core::duration grant_lifetime = std::chrono::seconds(1);
/// Members that come to a hub bring this time of their part of the rate.
constexpr core::duration welcome_time = std::chrono::milliseconds(500);
/// A daemon that starts knows no member yet.
constexpr std::size_t least_members_alone = 20;
constexpr core::duration shortest_retry_after = std::chrono::milliseconds(50);
constexpr core::duration longest_retry_after = std::chrono::seconds(10);

double to_double(std::size_t value)
{
    return static_cast<double>(value);
}

double overage(const account_pools& pools)
{
    return 1.0 + pools.tolerance.overage * used_tolerance;
}

void fill(account_bucket& bucket, core::time_point now)
{
    const double earned = core::to_seconds(now - bucket.filled) * bucket.rate;
    bucket.tokens = std::min(bucket.depth, bucket.tokens + std::max(0.0, earned));
    bucket.filled = now;
}

void resize(account_bucket& bucket, double rate, double depth, core::time_point now)
{
    if (bucket.filled == core::time_point())
    {
        bucket.filled = now;
    }
    fill(bucket, now);
    bucket.rate = rate;
    bucket.depth = depth;
    bucket.tokens = std::min(bucket.tokens, depth);
}

// The unused part of the tolerance, divided by the members. It is rounded by chance, so that the
// parts add up to the whole although each is a fraction of a request.
void start_alone(account_pools& pools, const account_limit& limit, account_bucket& bucket,
                 core::time_point now)
{
    const double known = to_double(std::max(pools.members_known, least_members_alone));
    const double whole = limit.rate * core::to_seconds(pools.tolerance.window) + limit.burst;
    const double unused =
        (whole * pools.tolerance.overage + pools.tolerance.slack) * (1.0 - used_tolerance) / known;
    bucket.tokens = std::min(bucket.depth, std::floor(unused + core::uniform(pools.random)));
    bucket.filled = now;
}

void resize_all(account_pools& pools, core::time_point now)
{
    const double known = to_double(std::max<std::size_t>(pools.members_known, 1));
    const double own_part = std::min(1.0, to_double(pools.members_own) / known);
    for (const auto& [name, limit] : pools.limits)
    {
        const double rate = limit.rate * overage(pools);
        const double depth = limit.burst * overage(pools) + pools.tolerance.slack * used_tolerance;
        account_bucket& pool = pools.pools[name];
        resize(pool, rate * own_part, depth * own_part, now);
        // Members that come may have spent their part of the burst at another hub.
        const double come = std::max(0.0, own_part - pool.part);
        const double welcome = std::max(1.0, limit.rate * core::to_seconds(welcome_time)) * come;
        pool.tokens = std::min(pool.depth, pool.tokens + welcome);
        pool.part = own_part;
        account_bucket& alone = pools.alone_parts[name];
        const bool is_new = alone.filled == core::time_point();
        resize(alone, limit.rate / known, std::max(1.0, limit.burst / known), now);
        if (is_new)
        {
            start_alone(pools, limit, alone, now);
        }
    }
}

grant refusal(const account_bucket& bucket)
{
    const double wait = bucket.rate > 0.0 ? (1.0 - bucket.tokens) / bucket.rate
                                          : core::to_seconds(longest_retry_after);
    return {.retry_after =
                std::clamp(core::from_seconds(wait), shortest_retry_after, longest_retry_after)};
}

} // namespace

void apply_configuration(account_pools& pools, const config::configuration& config,
                         core::time_point now)
{
    pools.limits.clear();
    for (const config::account& account : config.accounts)
    {
        if (account.rate > 0.0)
        {
            pools.limits[account.name] = {.rate = account.rate * pools.region_part,
                                          .burst = account.burst * pools.region_part};
        }
    }
    const auto is_gone = [&](const auto& entry)
    {
        return !pools.limits.contains(entry.first);
    };
    std::erase_if(pools.pools, is_gone);
    std::erase_if(pools.alone_parts, is_gone);
    std::erase_if(pools.grants, is_gone);
    resize_all(pools, now);
}

void set_members(account_pools& pools, std::size_t own, std::size_t known, core::time_point now)
{
    if (own != pools.members_own || known != pools.members_known)
    {
        pools.members_own = own;
        pools.members_known = known;
        resize_all(pools, now);
    }
}

void set_alone(account_pools& pools, bool alone, core::time_point now)
{
    if (alone == pools.alone)
    {
        return;
    }
    pools.alone = alone;
    for (auto& [name, bucket] : pools.alone_parts)
    {
        start_alone(pools, pools.limits[name], bucket, now);
    }
}

bool is_limited(const account_pools& pools, const std::string& account)
{
    return pools.limits.contains(account);
}

grant take_from_pool(account_pools& pools, const std::string& account, core::time_point now)
{
    const auto found = pools.pools.find(account);
    if (found == pools.pools.end())
    {
        return {.requests = 1};
    }
    account_bucket& pool = found->second;
    fill(pool, now);
    if (pool.tokens < 1.0)
    {
        return refusal(pool);
    }
    const double members = to_double(std::max<std::size_t>(pools.members_known, 1));
    const double share = pool.tokens * granted_part / members;
    const auto requests = static_cast<std::uint32_t>(
        std::clamp(std::floor(share), 1.0, static_cast<double>(max_grant)));
    pool.tokens -= requests;
    return {.requests = requests};
}

bool take_granted(account_pools& pools, const std::string& account, core::time_point now)
{
    const auto found = pools.grants.find(account);
    if (found == pools.grants.end() || found->second.left == 0 || now >= found->second.until)
    {
        return false;
    }
    --found->second.left;
    return true;
}

void add_granted(account_pools& pools, const std::string& account, std::uint32_t requests,
                 core::time_point now)
{
    account_grants& grants = pools.grants[account];
    const std::uint32_t kept = now < grants.until ? grants.left : 0;
    grants = {.left = std::min(kept + requests, max_grant), .until = now + grant_lifetime};
}

void give_back(account_pools& pools, const std::string& account, core::time_point now)
{
    if (is_limited(pools, account))
    {
        add_granted(pools, account, 1, now);
    }
}

grant take_alone(account_pools& pools, const std::string& account, core::time_point now)
{
    const auto found = pools.alone_parts.find(account);
    if (found == pools.alone_parts.end())
    {
        return {.requests = 1};
    }
    account_bucket& bucket = found->second;
    fill(bucket, now);
    if (bucket.tokens < 1.0)
    {
        return refusal(bucket);
    }
    bucket.tokens -= 1.0;
    return {.requests = 1};
}

boost::json::object dump(const account_pools& pools)
{
    boost::json::object out;
    out["members_own"] = pools.members_own;
    out["members_known"] = pools.members_known;
    out["alone"] = pools.alone;
    boost::json::object accounts;
    for (const auto& [name, limit] : pools.limits)
    {
        const auto pool = pools.pools.find(name);
        const auto grants = pools.grants.find(name);
        accounts[name] = {{"rate", limit.rate},
                          {"burst", limit.burst},
                          {"pool", pool == pools.pools.end() ? 0.0 : pool->second.tokens},
                          {"granted", grants == pools.grants.end() ? 0 : grants->second.left}};
    }
    out["accounts"] = std::move(accounts);
    return out;
}

} // namespace zinniaferry::limits
