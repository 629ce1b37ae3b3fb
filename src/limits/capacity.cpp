#include "limits/capacity.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::limits
{

namespace
{

// Below this burst per process, fractions of seats would never add up to a whole request.
constexpr double smallest_burst_per_vm = 2.0;
constexpr double significant_arrivals = 60.0;

constexpr double message_resolution = 1024.0;

double seat_fraction_of(const account_limiter& state, const config::account& account, double burst,
                        std::uint32_t max_vms)
{
    if (state.options.way.seat_fraction)
    {
        return *state.options.way.seat_fraction;
    }
    return burst < smallest_burst_per_vm * max_vms ? 0.0 : account.seat_fraction;
}

double region_part(const account_limiter& state, const config::configuration& config)
{
    double sum = 0.0;
    double own = 0.0;
    for (const config::region& region : config.regions)
    {
        sum += region.weight;
        own += region.name == state.options.region ? region.weight : 0.0;
    }
    return state.options.region.empty() || sum <= 0.0 ? 1.0 : own / sum;
}

bool has_changed(const account_limiter& state, const std::map<std::string, double>& fractions,
                 std::uint32_t max_vms)
{
    return state.max_vms != max_vms ||
           std::any_of(fractions.begin(), fractions.end(),
                       [&](const auto& entry)
                       {
                           const auto found = state.accounts.find(entry.first);
                           return found != state.accounts.end() && found->second.configured &&
                                  found->second.seat_fraction != entry.second;
                       });
}

// The capacity that grows, in seats or in the pool, must wait until every process has shrunk the
// other side and until loans of the former division have ended.
void keep_former_division(account_limiter& state, core::time_point now)
{
    former_division former{.max_vms = state.max_vms,
                           .until = now + state.options.spread_limit +
                                    lender_term(state.options, longest_loan_term)};
    for (const auto& [name, account] : state.accounts)
    {
        if (account.configured)
        {
            former.seat_fractions.emplace(name, account.seat_fraction);
        }
    }
    state.former.push_back(std::move(former));
}

struct division
{
    std::uint32_t max_vms = 1;
    double lowest_fraction = 0.0;
    double highest_fraction = 0.0;
};

division division_of(const account_limiter& state, const account_state& account,
                     core::time_point now)
{
    division result{.max_vms = state.max_vms,
                    .lowest_fraction = account.seat_fraction,
                    .highest_fraction = account.seat_fraction};
    for (const former_division& former : state.former)
    {
        if (now >= former.until)
        {
            continue;
        }
        result.max_vms = std::max(result.max_vms, former.max_vms);
        const auto found = former.seat_fractions.find(account.name);
        if (found != former.seat_fractions.end())
        {
            result.lowest_fraction = std::min(result.lowest_fraction, found->second);
            result.highest_fraction = std::max(result.highest_fraction, found->second);
        }
    }
    return result;
}

void end_loans(account_state& account, core::time_point now)
{
    for (lent_chain& chain : account.lent)
    {
        std::erase_if(chain.generations,
                      [&](const lent_generation& generation) { return now >= generation.end; });
    }
    std::erase_if(account.lent, [](const lent_chain& chain) { return chain.generations.empty(); });
    for (borrowed_share& loan : account.borrowed)
    {
        if (loan.live && now >= loan.bucket.expires)
        {
            loan.live = false;
            loan.bucket = {};
        }
    }
    std::erase_if(account.borrowed,
                  [](const borrowed_share& loan) { return !loan.live && !loan.pending; });
}

void set_owned(account_state& account, owned_capacity& owned, bool from_pool, double rate,
               double cap, core::time_point now)
{
    double lent_rate = 0.0;
    double lent_cap = 0.0;
    for (const lent_chain& chain : account.lent)
    {
        if (chain.from_pool == from_pool)
        {
            const lent_generation reserved = reserved_by(chain, now);
            lent_rate += reserved.rate;
            lent_cap += reserved.cap;
        }
    }
    owned.rate = rate;
    owned.cap = cap;
    restore(owned.bucket, std::max(0.0, rate - lent_rate), std::max(0.0, cap - lent_cap), now);
}

} // namespace

double rounded_down(double value)
{
    return std::floor(value * message_resolution) / message_resolution;
}

double rounded_up(double value)
{
    return std::ceil(value * message_resolution) / message_resolution;
}

core::duration lender_term(const account_limiter_options& options, core::duration term)
{
    return core::from_seconds(core::to_seconds(term) * (1.0 + options.clock_margin));
}

account_state* find_configured(account_limiter& state, std::string_view name)
{
    const auto found = state.accounts.find(name);
    return found == state.accounts.end() || !found->second.configured ? nullptr : &found->second;
}

bool is_pool_active(const account_limiter& state, const account_state& account,
                    core::time_point now)
{
    switch (state.options.way.pool)
    {
    case pool_source::none:
        return false;
    case pool_source::hashed_list:
        return account.pool_held;
    case pool_source::majority_lease:
        break;
    }
    return now >= account.pool_from && account.group < state.group_held_until.size() &&
           now < state.group_held_until[account.group];
}

void refresh(account_limiter& state, account_state& account, core::time_point now)
{
    end_loans(account, now);
    const division parts = division_of(state, account, now);
    const bool seat_usable =
        account.configured && now >= state.started + lender_term(state.options, longest_loan_term);
    const double seat_part = seat_usable ? parts.lowest_fraction / parts.max_vms : 0.0;
    set_owned(account, account.seat, false, account.rate * seat_part, account.burst * seat_part,
              now);
    const bool pool_usable = account.configured && is_pool_active(state, account, now);
    const double pool_part = pool_usable ? 1.0 - parts.highest_fraction : 0.0;
    if (!pool_usable)
    {
        account.pool.bucket = {.last = now};
    }
    set_owned(account, account.pool, true, account.rate * pool_part, account.burst * pool_part,
              now);
}

lent_generation reserved_by(const lent_chain& chain, core::time_point now)
{
    lent_generation most;
    for (const lent_generation& generation : chain.generations)
    {
        if (now < generation.end)
        {
            most.rate = std::max(most.rate, generation.rate);
            most.cap = std::max(most.cap, generation.cap);
            most.end = std::max(most.end, generation.end);
        }
    }
    return most;
}

std::vector<share*> usable_shares(account_state& account)
{
    // The seat comes first, since it overflows otherwise while the holder could have lent the
    // tokens elsewhere; then loans in the order in which they end.
    std::vector<share*> shares;
    for (borrowed_share& loan : account.borrowed)
    {
        if (loan.live)
        {
            shares.push_back(&loan.bucket);
        }
    }
    std::sort(shares.begin(), shares.end(),
              [](const share* a, const share* b) { return a->expires < b->expires; });
    shares.insert(shares.begin(), &account.seat.bucket);
    shares.push_back(&account.pool.bucket);
    return shares;
}

double demand_now(const account_limiter& state, const account_state& account, core::time_point now)
{
    const double age = core::to_seconds(now - account.demand_at);
    return account.demand * std::exp(-age / core::to_seconds(state.options.demand_window));
}

bool is_significant(const account_limiter& state, double demand)
{
    return demand * core::to_seconds(state.options.demand_window) >= significant_arrivals;
}

void apply_configuration(account_limiter& state, const config::configuration& config,
                         core::time_point now)
{
    const double part = region_part(state, config);
    std::map<std::string, double> fractions;
    for (const config::account& account : config.accounts)
    {
        fractions[account.name] =
            seat_fraction_of(state, account, account.burst * part, config.max_vms);
    }
    std::erase_if(state.former, [&](const former_division& old) { return now >= old.until; });
    if (state.max_vms != 0 && has_changed(state, fractions, config.max_vms))
    {
        keep_former_division(state, now);
    }
    const bool regrouped = state.pool_groups != 0 && state.pool_groups != config.pool_groups;
    state.max_vms = config.max_vms;
    state.pool_groups = config.pool_groups;
    state.group_held_until.resize(
        std::max<std::size_t>(state.group_held_until.size(), config.pool_groups));
    for (auto& [name, account] : state.accounts)
    {
        account.configured = false;
    }
    for (const config::account& entry : config.accounts)
    {
        account_state& account = state.accounts[entry.name];
        account.name = entry.name;
        account.configured = true;
        account.rate = entry.rate * part;
        account.burst = entry.burst * part;
        account.seat_fraction = fractions[entry.name];
        account.group = group_of(entry.name, std::max(config.pool_groups, 1U));
        if (regrouped)
        {
            // Until then a process without this configuration may hold the former group.
            account.pool_from =
                now + state.options.spread_limit + lender_term(state.options, longest_loan_term);
        }
    }
    for (auto& [name, account] : state.accounts)
    {
        refresh(state, account, now);
        while (!account.configured && !account.borrowed.empty())
        {
            give_back(state, account, 0);
        }
    }
    std::erase_if(state.accounts,
                  [](const auto& entry)
                  {
                      const account_state& account = entry.second;
                      return !account.configured && account.lent.empty() && account.waiting.empty();
                  });
}

} // namespace zinniaferry::limits
