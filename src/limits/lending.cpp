// The lender's side of loans.
#include "limits/capacity.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::limits
{

namespace
{

// What a borrower is given above its arrival rate, so that it does not ask again at every small
// rise.
constexpr double headroom = 1.1;
// Part of the pool's bucket that is lent together with a rate; the rest stays for whoever asks
// next.
constexpr double lent_cap_fraction = 0.9;
// Part of the needed rate that is lent. A borrower with less than it needs seldom has a full
// bucket, which would waste tokens, and asks the holder for the rest as whole tokens.
constexpr double lent_rate_fraction = 0.8;
// Demand of all borrowers above this many times the pool's rate is more than noise of the averages:
// the account sends more than its rate. Then every bucket runs empty, so that none overflows, and
// nothing is kept back for later questions.
constexpr double overload_ratio = 1.5;
constexpr double overload_rate_fraction = 0.95;
// Smaller buckets lose more to overflow than a rate of their own is worth.
constexpr double smallest_lent_cap = 1.25;
// Renewals change a loan only beyond this ratio, either way.
constexpr double worthwhile_ratio = 1.4;
// A bucket holds at most what arrives in this time, and room for two requests more.
constexpr core::duration longest_fill = std::chrono::seconds(1);
// Tokens for requests that wait are spent on receipt, within the hold limit; the loan then ends
// by itself without a message, and its cap is missing in the pool until then.
constexpr core::duration token_loan_term = std::chrono::milliseconds(25);
// Demand that was not reported again for this time counts as gone.
constexpr core::duration demand_memory = 2 * longest_loan_term;
// Loans that would end sooner are not worth the messages.
constexpr core::duration shortest_term = std::chrono::milliseconds(100);

// Part of the pool's bucket that is lent as tokens without a rate, for the next requests of
// borrowers with at least so many arrivals in a loan term; with fewer, many would not be used.
constexpr double ahead_cap_fraction = 0.75;
constexpr double smallest_ahead_arrivals = 6.0;
// A borrower gets at most what arrives in this time.
constexpr core::duration longest_ahead = std::chrono::milliseconds(1500);

struct grant
{
    double rate = 0.0;
    double cap = 0.0;
    double tokens = 0.0;
    core::duration longest_term = longest_loan_term;
};

double unmet(double demand, double seat_rate)
{
    return std::max(0.0, headroom * demand - seat_rate);
}

// Divides in proportion to what each process needs beyond its seat.
double part_of(const account_limiter& state, account_state& account, double wanted,
               core::time_point now)
{
    std::erase_if(account.demand_of_peers,
                  [&](const auto& entry) { return now - entry.second.at >= demand_memory; });
    double sum = unmet(demand_now(state, account, now), account.seat.rate);
    for (const auto& [vm, report] : account.demand_of_peers)
    {
        sum += unmet(report.rate, account.seat.rate);
    }
    return sum > 0.0 ? std::min(1.0, wanted / sum) : 0.0;
}

bool is_worthwhile(double target, double present)
{
    return target > present * worthwhile_ratio || target * worthwhile_ratio < present;
}

bool is_frequent(const account_limiter& state, const fleet::loan_want& want)
{
    return want.demand * core::to_seconds(state.options.loan_term) >= smallest_ahead_arrivals;
}

// Demand is reported just after arrivals, so its sum over processes with few of them is too high.
bool has_reliable_demand(const account_limiter& state, const fleet::loan_want& want)
{
    constexpr double fewest_arrivals = 24.0;
    return want.demand * core::to_seconds(state.options.loan_term) >= fewest_arrivals;
}

// Lends what waiting requests lack, and some tokens for the next requests. These have no rate, so
// none overflow, and what is left survives a renewal.
grant token_grant(const account_limiter& state, const account_state& account,
                  const fleet::loan_want& want, double part, const lent_generation& reserved)
{
    const share& own = account.pool.bucket;
    // Enough for as many of the requests as possible; less than the last part would serve none.
    const double whole =
        std::max(0.0, want.tokens - std::max(0.0, std::ceil(want.tokens - own.tokens)));
    const double served = std::ceil(want.tokens);
    const double most = own.cap + reserved.cap;
    double cap = std::min({account.pool.cap * ahead_cap_fraction * part,
                           1.0 + want.demand * core::to_seconds(longest_ahead), most});
    const bool runs = reserved.cap >= smallest_lent_cap;
    if (state.stopping || (!runs && (!is_frequent(state, want) || cap < smallest_lent_cap)))
    {
        // The fractions that the borrower holds may be in the same loan.
        return {.cap = whole > 0.0 ? std::max(whole, std::min(served, most)) : 0.0,
                .tokens = whole,
                .longest_term = token_loan_term};
    }
    cap = runs && !is_worthwhile(cap, reserved.cap) ? reserved.cap : cap;
    cap = std::max(cap, std::min(served, most));
    const double ahead = std::min(cap - served, (own.tokens - whole) / 2);
    return {.cap = cap, .tokens = whole + std::max(0.0, ahead)};
}

grant pool_grant(const account_limiter& state, account_state& account, const fleet::loan_want& want,
                 const lent_generation& reserved, core::time_point now)
{
    const share& own = account.pool.bucket;
    const double wanted = unmet(want.demand, account.seat.rate);
    const double part = part_of(state, account, wanted, now);
    double cap = std::min(account.pool.cap * lent_cap_fraction * part,
                          2.0 + wanted * core::to_seconds(longest_fill));
    const bool overloaded = wanted > overload_ratio * account.pool.rate * part;
    double rate = (overloaded ? overload_rate_fraction : lent_rate_fraction) *
                  std::min(wanted, account.pool.rate * part);
    if (reserved.rate > 0.0)
    {
        // What is lent stays reserved until its term ends, so a smaller loan frees nothing at once
        // and takes tokens from the borrower. Demand averages vary, so small changes are left out.
        cap = is_worthwhile(cap, reserved.cap) ? cap : reserved.cap;
        rate = is_worthwhile(rate, reserved.rate) ? rate : reserved.rate;
    }
    else if (cap < smallest_lent_cap || state.stopping ||
             !(is_significant(state, want.demand) ||
               (overloaded && has_reliable_demand(state, want))))
    {
        return token_grant(state, account, want, part, reserved);
    }
    grant result{.rate = std::min(rate, own.rate + reserved.rate),
                 .cap = std::min(cap, own.cap + reserved.cap)};
    if (state.stopping)
    {
        // Ends with the present generation, so that the lease can be released then.
        result.longest_term = core::from_seconds(core::to_seconds(reserved.end - now) /
                                                 (1.0 + state.options.clock_margin));
    }
    const double first_fill = reserved.cap > 0.0 ? 0.0 : cap / 2;
    result.tokens = std::min(std::max(want.tokens, first_fill), own.tokens / 2);
    result.tokens =
        std::min(result.cap, std::max(result.tokens, std::min(want.tokens, own.tokens)));
    return result;
}

grant seat_grant(const account_limiter& state, account_state& account, const fleet::loan_want& want,
                 const lent_generation& reserved, core::time_point now)
{
    const share& own = account.seat.bucket;
    if (account.seat.rate <= 0.0)
    {
        return {};
    }
    const double spare = own.rate + reserved.rate - headroom * demand_now(state, account, now);
    const double rate = std::min(spare, std::max(0.0, headroom * want.demand));
    // Fractions below a tenth of the seat are not worth the messages.
    if (rate < account.seat.rate / 10)
    {
        return {};
    }
    const double part = rate / account.seat.rate;
    return {.rate = rate,
            .cap = std::min(account.seat.cap * part, own.cap + reserved.cap),
            .tokens = own.tokens * part};
}

lent_chain& chain_for(account_state& account, const core::process_id& borrower, std::uint64_t chain,
                      bool from_pool)
{
    const auto found = std::find_if(account.lent.begin(), account.lent.end(),
                                    [&](const lent_chain& entry)
                                    { return entry.chain == chain && entry.borrower == borrower; });
    if (found != account.lent.end())
    {
        return *found;
    }
    account.lent.push_back(
        {.borrower = borrower, .chain = chain, .from_pool = from_pool, .group = account.group});
    return account.lent.back();
}

core::duration term_for(const account_limiter& state, const account_state& account, bool from_pool,
                        core::duration asked, core::time_point now)
{
    core::duration term = std::min({asked, state.options.loan_term, longest_loan_term});
    if (from_pool && state.options.way.pool == pool_source::majority_lease)
    {
        const core::duration left = state.group_held_until[account.group] - now;
        term = std::min(
            term, core::from_seconds(core::to_seconds(left) / (1.0 + state.options.clock_margin)));
    }
    return term;
}

struct loan_answer
{
    bool ignored = false; ///< A late or repeated want.
    core::duration term{};
    std::optional<fleet::loan_share> lent;
};

loan_answer answer_want(account_limiter& state, const core::process_id& from,
                        const fleet::loan_want& want, core::duration asked_term,
                        core::time_point now)
{
    account_state* account = find_configured(state, want.account);
    const bool well_formed = std::isfinite(want.demand) && want.demand >= 0.0 &&
                             std::isfinite(want.tokens) && want.tokens >= 0.0;
    const bool ended = state.stopping && now >= state.stopping_since + longest_loan_term;
    if (account == nullptr || !well_formed || ended || !state.options.way.lends)
    {
        return {};
    }
    refresh(state, *account, now);
    const bool from_pool = is_pool_active(state, *account, now);
    lent_chain& chain = chain_for(*account, from, chain_of(want.loan_id), from_pool);
    if (!chain.generations.empty() && generation_of(want.loan_id) <= chain.generation)
    {
        return {.ignored = true};
    }
    account->demand_of_peers[from.vm] = {.rate = want.demand, .at = now};
    core::duration term = term_for(state, *account, from_pool, asked_term, now);
    const lent_generation reserved = reserved_by(chain, now);
    grant given;
    // A loan does not change its source: its old part is still counted against that.
    if (term >= shortest_term && chain.from_pool == from_pool && (from_pool || !state.stopping))
    {
        given = from_pool ? pool_grant(state, *account, want, reserved, now)
                          : seat_grant(state, *account, want, reserved, now);
    }
    given.rate = rounded_down(given.rate);
    given.cap = rounded_down(given.cap);
    given.tokens = rounded_down(given.tokens);
    if (given.cap <= 0.0)
    {
        std::erase_if(account->lent,
                      [](const lent_chain& entry) { return entry.generations.empty(); });
        return {};
    }
    term = std::min(term, given.longest_term);
    share& own = from_pool ? account->pool.bucket : account->seat.bucket;
    // Tokens move before the cap, which would otherwise clamp them away.
    const double tokens = std::clamp(given.tokens, 0.0, std::min(own.tokens, given.cap));
    own.tokens -= tokens;
    split_off(own, given.rate - reserved.rate, given.cap - reserved.cap, 0.0, now);
    chain.generation = generation_of(want.loan_id);
    chain.generations.push_back(
        {.rate = given.rate, .cap = given.cap, .end = now + lender_term(state.options, term)});
    return {.term = term,
            .lent = fleet::loan_share{.account = want.account,
                                      .loan_id = want.loan_id,
                                      .rate = given.rate,
                                      .cap = given.cap,
                                      .tokens = tokens}};
}

} // namespace

std::vector<fleet::outgoing> lend(account_limiter& state, const core::process_id& from,
                                  const fleet::loan_request& request, core::time_point now)
{
    // One reply has one term, and a loan from a pool ends before its lease.
    std::map<core::duration, fleet::loan_reply> replies;
    for (const fleet::loan_want& want : request.wants)
    {
        const loan_answer answer = answer_want(state, from, want, request.term, now);
        if (answer.lent)
        {
            replies[answer.term].shares.push_back(*answer.lent);
        }
        else if (!answer.ignored)
        {
            replies[request.term].refused.push_back(want.loan_id);
        }
    }
    std::vector<fleet::outgoing> out;
    for (auto& [term, reply] : replies)
    {
        reply.term = term;
        out.push_back({.to_vm = from.vm, .body = std::move(reply)});
    }
    return out;
}

void take_back(account_limiter& state, const core::process_id& from,
               const fleet::loan_return& returned, core::time_point now)
{
    for (auto& [name, account] : state.accounts)
    {
        const std::size_t removed = std::erase_if(
            account.lent,
            [&](const lent_chain& chain)
            {
                return chain.borrower == from &&
                       std::any_of(returned.loan_ids.begin(), returned.loan_ids.end(),
                                   [&](std::uint64_t id) { return chain_of(id) == chain.chain; });
            });
        if (removed > 0)
        {
            refresh(state, account, now);
        }
    }
}

} // namespace zinniaferry::limits
