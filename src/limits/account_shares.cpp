#include "limits/account_shares.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::limits
{

namespace
{

/// Time over which demand is averaged.
constexpr core::duration demand_memory = std::chrono::seconds(2);
/// Part of the rate that is divided evenly; the rest goes by demand.
constexpr double even_part = 0.4;
/// Part of the allowed excess that is used; the rest covers views that differ.
constexpr double used_excess = 0.8;
/// The fleet is assumed to have at least so many members while not all had time to be heard.
constexpr std::size_t assumed_members = 20;
constexpr double least_demand = 0.05; ///< Requests/s below which an account counts as idle.

double faded_demand(const account_share& share, core::time_point now)
{
    const double age = core::to_seconds(now - share.demand_at);
    return share.demand * std::exp(-age / core::to_seconds(demand_memory));
}

struct bucket_size
{
    double rate = 0.0;
    double depth = 1.0;
};

double members(const fleet_demand& fleet)
{
    const std::size_t known = std::max(fleet.members_known, fleet.members_heard);
    return static_cast<double>(fleet.settled ? known : std::max(known, assumed_members));
}

// Part of the fleet's rate that this daemon may hand out.
double part_of(const account_shares& shares, const std::string& account,
               const account_share& share, core::time_point now)
{
    const fleet_demand& fleet = shares.fleet;
    const double known = members(fleet);
    const double even = 1.0 / known;
    const auto total = fleet.requests_per_s.find(account);
    if (total == fleet.requests_per_s.end() || total->second <= 0.0)
    {
        return even;
    }
    const double own = faded_demand(share, now);
    const double by_demand = own / std::max(total->second, own);
    const double heard = static_cast<double>(fleet.members_heard) / known;
    return even_part * even + (1.0 - even_part) * by_demand * std::min(1.0, heard);
}

// Over a window the fleet may admit rate x window + burst and the excess. The rates take the
// fraction, the depths of the buckets take burst and slack.
bucket_size size_of(const account_shares& shares, const std::string& account,
                    const account_share& share, core::time_point now)
{
    const account_shares_options& options = shares.options;
    const double part = part_of(shares, account, share, now);
    const double excess = 1.0 + options.overage * used_excess;
    const double depth = share.burst * excess + options.slack * used_excess;
    return {.rate = share.rate * excess * part,
            .depth = std::max(1.0, depth / members(shares.fleet))};
}

void fill(const account_shares& shares, const std::string& account, account_share& share,
          core::time_point now)
{
    const bucket_size size = size_of(shares, account, share, now);
    const double earned = core::to_seconds(now - share.filled) * size.rate;
    share.tokens = std::min(size.depth, share.tokens + std::max(0.0, earned));
    share.filled = now;
}

void note_demand(account_share& share, core::time_point now)
{
    share.demand = faded_demand(share, now) + 1.0 / core::to_seconds(demand_memory);
    share.demand_at = now;
}

} // namespace

void apply_configuration(account_shares& shares, const config::configuration& config, double part,
                         core::time_point now)
{
    std::unordered_map<std::string, account_share> next;
    for (const config::account& account : config.accounts)
    {
        const auto known = shares.accounts.find(account.name);
        account_share share;
        share.filled = now;
        share.demand_at = now;
        if (known != shares.accounts.end())
        {
            fill(shares, account.name, known->second, now);
            share = known->second;
        }
        share.rate = account.rate * part;
        share.burst = account.burst * part;
        next.emplace(account.name, share);
    }
    shares.accounts = std::move(next);
}

void set_fleet(account_shares& shares, fleet_demand fleet, core::time_point now)
{
    for (auto& [name, share] : shares.accounts)
    {
        fill(shares, name, share, now);
    }
    shares.fleet = std::move(fleet);
}

admission admit(account_shares& shares, const std::string& account, core::time_point now)
{
    const auto found = shares.accounts.find(account);
    if (found == shares.accounts.end())
    {
        return {.admitted = true};
    }
    account_share& share = found->second;
    note_demand(share, now);
    if (share.rate <= 0.0)
    {
        return {.admitted = true};
    }
    fill(shares, account, share, now);
    if (share.tokens >= 1.0)
    {
        share.tokens -= 1.0;
        return {.admitted = true};
    }
    const double rate = size_of(shares, account, share, now).rate;
    const double wait = rate > 0.0 ? (1.0 - share.tokens) / rate : 1.0;
    return {.admitted = false, .retry_after = core::from_seconds(std::min(wait, 60.0))};
}

std::map<std::string, double> own_demand(const account_shares& shares, core::time_point now)
{
    std::map<std::string, double> out;
    for (const auto& [name, share] : shares.accounts)
    {
        const double demand = faded_demand(share, now);
        if (share.rate > 0.0 && demand > least_demand)
        {
            out[name] = demand;
        }
    }
    return out;
}

boost::json::object dump(const account_shares& shares, core::time_point now)
{
    boost::json::object out;
    out["members_heard"] = shares.fleet.members_heard;
    out["members_known"] = shares.fleet.members_known;
    boost::json::object& accounts = (out["accounts"] = boost::json::object()).as_object();
    for (const auto& [name, share] : shares.accounts)
    {
        accounts[name] = {{"rate", share.rate},
                          {"tokens", share.tokens},
                          {"demand", faded_demand(share, now)},
                          {"part", part_of(shares, name, share, now)}};
    }
    return out;
}

} // namespace zinniaferry::limits
