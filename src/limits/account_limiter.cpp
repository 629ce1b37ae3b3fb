#include "limits/account_limiter.hpp"

#include "limits/capacity.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <cmath>

namespace zinniaferry::limits
{

namespace
{

constexpr core::duration shortest_retry_after = std::chrono::milliseconds(1);
constexpr core::duration longest_retry_after = std::chrono::minutes(10);

void count_arrival(const account_limiter& state, account_state& account, core::time_point now)
{
    account.demand =
        demand_now(state, account, now) + 1.0 / core::to_seconds(state.options.demand_window);
    account.demand_at = now;
}

admission refuse(account_state& account, core::time_point now)
{
    const std::vector<share*> shares = usable_shares(account);
    const std::vector<const share*> read_only(shares.begin(), shares.end());
    // Where this process has no shares of its own, somebody has a token after 1/rate.
    const double fleet_interval = account.rate > 0.0 ? 1.0 / account.rate : 1e9;
    const core::duration interval = core::from_seconds(std::min(fleet_interval, 1e9));
    return {.result = verdict::refused,
            .retry_after = std::clamp(std::min(time_to_token(read_only, now), interval),
                                      shortest_retry_after, longest_retry_after)};
}

bool take_token(account_state& account, core::time_point now)
{
    return take(usable_shares(account), now);
}

void resolve_account(account_limiter& state, account_state& account, core::time_point now,
                     std::vector<resolution>& out)
{
    refresh(state, account, now);
    const bool hopeless = !can_borrow(state, account, now);
    std::deque<waiting_request> still;
    for (const waiting_request& request : account.waiting)
    {
        resolution end{.request_id = request.request_id, .account = account.name};
        // Order of arrival: nobody overtakes a request that still waits.
        if (now < request.until && still.empty() && account.configured && take_token(account, now))
        {
            end.outcome.result = verdict::admitted;
        }
        else if (now >= request.until || hopeless)
        {
            end.outcome = refuse(account, now);
        }
        else
        {
            still.push_back(request);
            continue;
        }
        out.push_back(std::move(end));
    }
    account.waiting = std::move(still);
}

// The unsafe baseline: whoever comes first over the own member list generates all tokens.
void choose_hashed_owner(account_limiter& state, account_state& account, core::time_point now)
{
    std::string owner = state.self.vm;
    std::uint64_t best = core::rendezvous_weight(account.name, owner);
    for (const std::string& vm : state.alive)
    {
        const std::uint64_t weight = core::rendezvous_weight(account.name, vm);
        if (weight > best)
        {
            best = weight;
            owner = vm;
        }
    }
    const bool becomes_owner = owner == state.self.vm && !account.pool_held;
    account.pool_held = owner == state.self.vm;
    account.holder = owner;
    if (becomes_owner)
    {
        refresh(state, account, now);
        account.pool.bucket.tokens = account.pool.bucket.cap;
    }
}

void take_hints(account_limiter& state, const peer_hints& peers, core::time_point now)
{
    state.alive = peers.alive;
    state.holders = peers.holders;
    for (auto& [name, account] : state.accounts)
    {
        if (state.options.way.pool == pool_source::hashed_list)
        {
            choose_hashed_owner(state, account, now);
        }
        else
        {
            const bool used = state.options.way.pool == pool_source::majority_lease &&
                              account.group < state.holders.size();
            account.holder = used ? state.holders[account.group] : std::string();
        }
    }
}

} // namespace

account_limiter make_account_limiter(core::process_id self, account_limiter_options options,
                                     core::time_point now)
{
    account_limiter state{.self = std::move(self), .options = std::move(options), .started = now};
    // A reply to the former process of this VM must not fit a loan of this one, so each
    // incarnation counts its chains from another number.
    state.next_chain = chain_of(core::stable_hash(core::to_string(state.self)));
    return state;
}

admission try_admit(account_limiter& state, std::string_view account_name, std::uint64_t request_id,
                    core::time_point deadline, core::time_point now)
{
    account_state* account = find_configured(state, account_name);
    if (account == nullptr)
    {
        return {.result = verdict::refused, .retry_after = longest_retry_after};
    }
    count_arrival(state, *account, now);
    refresh(state, *account, now);
    if (account->waiting.empty() && take_token(*account, now))
    {
        return {.result = verdict::admitted};
    }
    const core::time_point until = std::min(deadline, now + state.options.hold_limit);
    if (now < until && account->waiting.size() < state.options.waiting_limit &&
        can_borrow(state, *account, now))
    {
        account->waiting.push_back({.request_id = request_id, .until = until});
        return {.result = verdict::wait};
    }
    return refuse(*account, now);
}

std::vector<resolution> resolve_waiting(account_limiter& state, core::time_point now)
{
    std::vector<resolution> out;
    for (auto& [name, account] : state.accounts)
    {
        if (!account.waiting.empty())
        {
            resolve_account(state, account, now, out);
        }
    }
    return out;
}

void cancel_waiting(account_limiter& state, std::string_view account, std::uint64_t request_id)
{
    const auto found = state.accounts.find(account);
    if (found != state.accounts.end())
    {
        std::erase_if(found->second.waiting, [&](const waiting_request& request)
                      { return request.request_id == request_id; });
    }
}

void set_pool(account_limiter& state, std::uint32_t group, core::time_point held_until,
              core::time_point now)
{
    if (group >= state.group_held_until.size())
    {
        return;
    }
    const bool lapsed = now >= state.group_held_until[group];
    state.group_held_until[group] = held_until;
    if (!lapsed && now < held_until)
    {
        return;
    }
    for (auto& [name, account] : state.accounts)
    {
        if (account.group == group && state.options.way.pool == pool_source::majority_lease)
        {
            // Another process may have held the pool in between, so it starts empty.
            account.pool.bucket = {.last = now};
            refresh(state, account, now);
        }
    }
}

std::vector<fleet::outgoing> handle(account_limiter& state, const core::process_id& from,
                                    const fleet::message_body& body, core::time_point now)
{
    if (const auto* request = std::get_if<fleet::loan_request>(&body))
    {
        return lend(state, from, *request, now);
    }
    if (const auto* reply = std::get_if<fleet::loan_reply>(&body))
    {
        credit(state, from, *reply, now);
    }
    else if (const auto* returned = std::get_if<fleet::loan_return>(&body))
    {
        take_back(state, from, *returned, now);
    }
    return {};
}

std::vector<fleet::outgoing> tick(account_limiter& state, const peer_hints& peers,
                                  core::time_point now, core::random_generator& random)
{
    take_hints(state, peers, now);
    return flush(state, now, random);
}

std::vector<fleet::outgoing> flush(account_limiter& state, core::time_point now,
                                   core::random_generator& random)
{
    for (auto& [name, account] : state.accounts)
    {
        plan_loans(state, account, now, random);
    }
    return take_due_batches(state, now, false);
}

std::vector<fleet::outgoing> shut_down(account_limiter& state, core::time_point now)
{
    state.stopping = true;
    state.stopping_since = now;
    for (auto& [name, account] : state.accounts)
    {
        refresh(state, account, now);
        while (!account.borrowed.empty())
        {
            give_back(state, account, 0);
        }
    }
    return take_due_batches(state, now, true);
}

core::time_point pool_busy_until(const account_limiter& state, std::uint32_t group,
                                 core::time_point now)
{
    core::time_point latest{};
    for (const auto& [name, account] : state.accounts)
    {
        for (const lent_chain& chain : account.lent)
        {
            if (chain.from_pool && chain.group == group)
            {
                latest = std::max(latest, reserved_by(chain, now).end);
            }
        }
    }
    return latest;
}

std::uint32_t group_of(std::string_view account, std::uint32_t groups)
{
    return static_cast<std::uint32_t>(core::stable_hash(account) % groups);
}

boost::json::object dump(const account_limiter& state, core::time_point now)
{
    boost::json::array accounts;
    for (const auto& [name, account] : state.accounts)
    {
        double borrowed_rate = 0.0;
        for (const borrowed_share& loan : account.borrowed)
        {
            borrowed_rate += loan.live && now < loan.bucket.expires ? loan.bucket.rate : 0.0;
        }
        double lent_rate = 0.0;
        for (const lent_chain& chain : account.lent)
        {
            lent_rate += reserved_by(chain, now).rate;
        }
        accounts.push_back({{"account", name},
                            {"configured", account.configured},
                            {"rate", account.rate},
                            {"burst", account.burst},
                            {"seat_fraction", account.seat_fraction},
                            {"seat_rate", account.seat.bucket.rate},
                            {"seat_tokens", account.seat.bucket.tokens},
                            {"pool_held", is_pool_active(state, account, now)},
                            {"pool_rate", account.pool.bucket.rate},
                            {"pool_tokens", account.pool.bucket.tokens},
                            {"borrowed_rate", borrowed_rate},
                            {"lent_rate", lent_rate},
                            {"demand", demand_now(state, account, now)},
                            {"waiting", account.waiting.size()},
                            {"holder", account.holder}});
    }
    return {{"strategy", state.options.way.name},
            {"max_vms", state.max_vms},
            {"stopping", state.stopping},
            {"accounts", std::move(accounts)}};
}

} // namespace zinniaferry::limits
