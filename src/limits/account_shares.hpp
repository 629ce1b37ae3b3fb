/// Rates of client accounts, held by all daemons together without a holder: each daemon has a
/// token bucket for its share of an account's rate.
///
/// A share is a part that is divided evenly over the members known lately, and a part by demand.
/// The sum over all daemons stays within the rate and the overage that the operators allow, also
/// while views of the fleet differ.
#pragma once

#include "config/model.hpp"
#include "core/time.hpp"

#include <boost/json.hpp>

#include <map>
#include <string>
#include <unordered_map>

namespace zinniaferry::limits
{

struct account_shares_options
{
    /// Requests above rate x window + burst that are allowed in a window, over the whole fleet:
    /// a fraction of these, and a number.
    double overage = 0.0;
    double slack = 0.0;
    core::duration window = std::chrono::seconds(5);
};

/// What the fleet's members reported.
struct fleet_demand
{
    std::size_t members_heard = 1; ///< Whose demand is in `requests_per_s`.
    std::size_t members_known = 1; ///< Also those that vanished lately.
    bool settled = false;          ///< Every member has had time to be heard.
    std::unordered_map<std::string, double> requests_per_s; ///< By account, this daemon included.
};

struct account_share
{
    double rate = 0.0;  ///< Of the account, over the whole fleet; 0 for no limit.
    double burst = 0.0; ///< As `rate`.
    double tokens = 1.0;
    core::time_point filled;
    double demand = 0.0; ///< Moving average of this daemon's requests/s.
    core::time_point demand_at;
};

struct account_shares
{
    account_shares_options options;
    fleet_demand fleet;
    std::unordered_map<std::string, account_share> accounts;
};

/// All functions: one thread at a time.

/// Takes over rates and bursts, of which `part` belongs to this region; buckets of accounts that
/// stay keep their tokens up to the new size.
void apply_configuration(account_shares& shares, const config::configuration& config, double part,
                         core::time_point now);

void set_fleet(account_shares& shares, fleet_demand fleet, core::time_point now);

struct admission
{
    bool admitted = false;
    core::duration retry_after{}; ///< When refused: until the bucket has a token again.
};

/// Takes one request of the account. An unknown account is admitted; keys were checked before.
admission admit(account_shares& shares, const std::string& account, core::time_point now);

/// Returns this daemon's demand by account in requests/s, without accounts that are idle.
std::map<std::string, double> own_demand(const account_shares& shares, core::time_point now);

boost::json::object dump(const account_shares& shares, core::time_point now);

} // namespace zinniaferry::limits
