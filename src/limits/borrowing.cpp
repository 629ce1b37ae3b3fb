// The borrower's side of loans.
#include "limits/capacity.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::limits
{

namespace
{

// More rate is asked for when demand exceeds the shares by this factor, which is more than the part
// of the need that a holder leaves to whole tokens.
constexpr double demand_hysteresis = 1.5;
// A loan is renewed when less than this part of its term is left: time for a lost message and a
// second attempt.
constexpr double renewal_part = 0.2;
constexpr core::duration adjustment_interval = std::chrono::seconds(1);
// Between requests for tokens before any request waits.
constexpr core::duration refill_interval = std::chrono::milliseconds(500);
constexpr std::size_t parallel_peers = 1;
// Idle seats of peers change more slowly than the pool's tokens.
constexpr core::duration longest_peer_backoff = std::chrono::milliseconds(6400);
// A loan brings at least 0.8 of the need while the account is within its rate. With demand above
// this many times the rate of all shares it is not, and asking again soon would bring nothing.
constexpr double overload_ratio = 1.6;

bool is_holder_usable(const account_limiter& state, const account_state& account,
                      core::time_point now)
{
    return !account.holder.empty() && account.holder != state.self.vm &&
           now >= account.holder_refused_until;
}

// More than this many times the demand per process that would use up the rate.
constexpr double concentrated_traffic = 2.0;

bool is_above_fair_share(const account_limiter& state, const account_state& account,
                         core::time_point now)
{
    const double demand = demand_now(state, account, now);
    return is_significant(state, demand) &&
           demand * state.max_vms > concentrated_traffic * account.rate;
}

bool are_peers_usable(const account_limiter& state, const account_state& account,
                      core::time_point now)
{
    // While a holder is known, peers are asked only by a process with so much traffic that seats of
    // others are likely to be idle; otherwise every short gap would cost three messages and
    // answers.
    return account.seat_fraction > 0.0 && now >= account.no_loan_until && !state.alive.empty() &&
           (account.holder.empty() || is_above_fair_share(state, account, now));
}

bool is_pending(const borrowed_share& loan)
{
    return loan.pending;
}

borrowed_share* loan_from(account_state& account, const std::string& lender)
{
    const auto found =
        std::find_if(account.borrowed.begin(), account.borrowed.end(),
                     [&](const borrowed_share& loan) { return loan.lender == lender; });
    return found == account.borrowed.end() ? nullptr : &*found;
}

// Tokens that a loan with a rate can take up; a loan of whole tokens is not filled again.
double room_in(borrowed_share& loan, core::time_point now)
{
    advance(loan.bucket, now);
    return loan.live && loan.bucket.rate > 0.0 ? loan.bucket.cap - loan.bucket.tokens : 0.0;
}

double usable_tokens(account_state& account, core::time_point now)
{
    double tokens = 0.0;
    for (share* bucket : usable_shares(account))
    {
        advance(*bucket, now);
        tokens += bucket->tokens;
    }
    return tokens;
}

// What the waiting requests lack beyond the fractions that this process has. A whole token for each
// would leave these fractions unused until they overflow.
double lacking(account_state& account, core::time_point now)
{
    // Sums of fractions must not stay below a whole token by rounding.
    constexpr double rounding = 1e-6;
    const auto waiting = static_cast<double>(account.waiting.size());
    const double tokens = usable_tokens(account, now);
    return tokens > rounding ? std::max(0.0, waiting - tokens + rounding) : waiting;
}

// Whether a process with a rate of its own is about to run out: asking before a request has to
// wait costs the same messages and no waiting.
bool runs_low(account_state& account, core::time_point now)
{
    double tokens = account.seat.bucket.tokens + account.pool.bucket.tokens;
    bool has_rate = false;
    for (borrowed_share& loan : account.borrowed)
    {
        advance(loan.bucket, now);
        tokens += loan.live ? loan.bucket.tokens : 0.0;
        has_rate = has_rate || (loan.live && loan.bucket.rate > 0.0);
    }
    return has_rate && tokens < 1.0;
}

void ask(account_limiter& state, account_state& account, const std::string& lender,
         core::time_point now)
{
    borrowed_share* loan = loan_from(account, lender);
    if (loan == nullptr)
    {
        account.borrowed.push_back({.lender = lender, .chain = state.next_chain});
        state.next_chain = chain_of(loan_id(state.next_chain + 1, 0));
        loan = &account.borrowed.back();
    }
    if (loan->pending || loan->generation == UINT16_MAX)
    {
        // After the last generation the loan runs out and a new chain begins.
        return;
    }
    ++loan->generation;
    loan->pending = true;
    loan->asked = now;
    state.batches[lender].wants.push_back(
        {.account = account.name,
         .loan_id = loan_id(loan->chain, loan->generation),
         .demand = rounded_up(demand_now(state, account, now)),
         .tokens = rounded_up(lacking(account, now) + room_in(*loan, now))});
}

void end_unanswered(account_limiter& state, account_state& account, core::time_point now)
{
    for (std::size_t i = account.borrowed.size(); i-- > 0;)
    {
        borrowed_share& loan = account.borrowed[i];
        if (!loan.pending || now < loan.asked + state.options.reply_limit)
        {
            continue;
        }
        loan.pending = false;
        if (!loan.live)
        {
            // The answer may be the message that was lost; the return frees the lender's part.
            give_back(state, account, i);
        }
    }
}

void renew(account_limiter& state, account_state& account, double wanted, core::time_point now)
{
    if (wanted <= account.seat.bucket.rate)
    {
        return;
    }
    const core::duration early =
        core::from_seconds(core::to_seconds(state.options.loan_term) * renewal_part);
    for (std::size_t i = 0; i < account.borrowed.size(); ++i)
    {
        const borrowed_share& loan = account.borrowed[i];
        if (loan.live && loan.bucket.rate > 0.0 && now >= loan.bucket.expires - early)
        {
            ask(state, account, std::string(loan.lender), now);
        }
    }
}

void ask_peers(account_limiter& state, account_state& account, core::time_point now,
               core::random_generator& random)
{
    std::vector<std::string> candidates;
    for (const std::string& vm : state.alive)
    {
        if (vm != account.holder && loan_from(account, vm) == nullptr)
        {
            candidates.push_back(vm);
        }
    }
    std::size_t pending = static_cast<std::size_t>(
        std::count_if(account.borrowed.begin(), account.borrowed.end(), is_pending));
    while (pending < parallel_peers && !candidates.empty())
    {
        const std::size_t pick = core::uniform_index(random, candidates.size());
        ask(state, account, candidates[pick], now);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick));
        ++pending;
    }
}

double supplied_rate(const account_state& account)
{
    double rate = account.seat.bucket.rate + account.pool.bucket.rate;
    for (const borrowed_share& loan : account.borrowed)
    {
        rate += loan.live ? loan.bucket.rate : 0.0;
    }
    return rate;
}

bool is_overloaded(const account_limiter& state, const account_state& account, core::time_point now)
{
    return demand_now(state, account, now) > overload_ratio * supplied_rate(account);
}

void lengthen(const account_limiter& state, core::duration& backoff, core::duration longest)
{
    backoff = backoff == core::duration::zero() ? state.options.first_backoff
                                                : std::min(2 * backoff, longest);
}

void note_refusal(account_limiter& state, account_state& account, const std::string& lender,
                  core::time_point now)
{
    if (lender == account.holder)
    {
        lengthen(state, account.holder_backoff, state.options.longest_backoff);
        account.holder_refused_until = now + account.holder_backoff;
    }
    else if (std::none_of(account.borrowed.begin(), account.borrowed.end(), is_pending))
    {
        lengthen(state, account.peer_backoff, longest_peer_backoff);
        account.no_loan_until = now + account.peer_backoff;
    }
}

bool is_well_formed(const fleet::loan_share& lent)
{
    return std::isfinite(lent.rate) && lent.rate >= 0.0 && std::isfinite(lent.cap) &&
           lent.cap >= 0.0 && std::isfinite(lent.tokens) && lent.tokens >= 0.0;
}

// Returns the account and index of the loan that a reply from `lender` may answer.
std::pair<account_state*, std::size_t> find_pending(account_limiter& state, std::uint64_t id,
                                                    const std::string& lender)
{
    for (auto& [name, account] : state.accounts)
    {
        for (std::size_t i = 0; i < account.borrowed.size(); ++i)
        {
            const borrowed_share& loan = account.borrowed[i];
            if (loan.pending && loan.chain == chain_of(id) &&
                loan.generation == generation_of(id) && loan.lender == lender)
            {
                return {&account, i};
            }
        }
    }
    return {nullptr, 0};
}

void credit_one(account_limiter& state, const fleet::loan_share& lent, core::duration term,
                const std::string& lender, core::time_point now)
{
    const auto [account, i] = find_pending(state, lent.loan_id, lender);
    if (account == nullptr || account->name != lent.account || !is_well_formed(lent))
    {
        return;
    }
    refresh(state, *account, now);
    borrowed_share* loan = loan_from(*account, lender);
    if (loan == nullptr)
    {
        return;
    }
    loan->pending = false;
    const core::time_point expires = loan->asked + std::min(term, state.options.loan_term);
    if (now >= expires)
    {
        give_back(state, *account, static_cast<std::size_t>(loan - account->borrowed.data()));
        return;
    }
    advance(loan->bucket, now);
    const double kept = loan->live ? loan->bucket.tokens : 0.0;
    loan->bucket = {.rate = lent.rate,
                    .cap = lent.cap,
                    .tokens = std::min(lent.cap, kept + lent.tokens),
                    .last = now,
                    .expires = expires};
    loan->live = true;
    const auto waiting = static_cast<double>(account->waiting.size());
    if (usable_tokens(*account, now) < std::max(1.0, waiting) ||
        (lent.rate > 0.0 && is_overloaded(state, *account, now)))
    {
        note_refusal(state, *account, lender, now);
    }
    else
    {
        (lender == account->holder ? account->holder_backoff : account->peer_backoff) = {};
    }
}

} // namespace

bool can_borrow(const account_limiter& state, const account_state& account, core::time_point now)
{
    if (state.stopping || !state.options.way.lends || !account.configured)
    {
        return false;
    }
    return std::any_of(account.borrowed.begin(), account.borrowed.end(), is_pending) ||
           is_holder_usable(state, account, now) || are_peers_usable(state, account, now);
}

void give_back(account_limiter& state, account_state& account, std::size_t index)
{
    const borrowed_share loan = account.borrowed[index];
    account.borrowed.erase(account.borrowed.begin() + static_cast<std::ptrdiff_t>(index));
    peer_batch& batch = state.batches[loan.lender];
    std::erase_if(batch.wants, [&](const fleet::loan_want& want)
                  { return chain_of(want.loan_id) == loan.chain; });
    batch.returns.push_back(loan_id(loan.chain, loan.generation));
}

void plan_loans(account_limiter& state, account_state& account, core::time_point now,
                core::random_generator& random)
{
    refresh(state, account, now);
    end_unanswered(state, account, now);
    if (state.stopping || !state.options.way.lends || !account.configured)
    {
        return;
    }
    const double demand = demand_now(state, account, now);
    renew(state, account, demand, now);
    const double supply = supplied_rate(account);
    const bool is_low = now >= account.next_refill && runs_low(account, now);
    const bool wants_rate = is_significant(state, demand) && demand > demand_hysteresis * supply &&
                            now >= account.next_adjustment;
    if (account.waiting.empty() && !wants_rate && !is_low)
    {
        return;
    }
    if (is_low)
    {
        account.next_refill = now + refill_interval;
    }
    if (wants_rate)
    {
        account.next_adjustment = now + adjustment_interval;
    }
    if (is_holder_usable(state, account, now))
    {
        ask(state, account, account.holder, now);
    }
    else if (are_peers_usable(state, account, now))
    {
        ask_peers(state, account, now, random);
    }
}

std::vector<fleet::outgoing> take_due_batches(account_limiter& state, core::time_point now,
                                              bool regardless_of_interval)
{
    std::vector<fleet::outgoing> out;
    for (auto& [vm, batch] : state.batches)
    {
        const bool due = batch.last_sent == core::time_point::min() ||
                         now >= batch.last_sent + state.options.batch_interval;
        if ((batch.wants.empty() && batch.returns.empty()) || !(due || regardless_of_interval))
        {
            continue;
        }
        if (!batch.returns.empty())
        {
            out.push_back(
                {.to_vm = vm, .body = fleet::loan_return{.loan_ids = std::move(batch.returns)}});
        }
        if (!batch.wants.empty())
        {
            out.push_back({.to_vm = vm,
                           .body = fleet::loan_request{.term = state.options.loan_term,
                                                       .wants = std::move(batch.wants)}});
        }
        batch = {.last_sent = now};
    }
    return out;
}

void credit(account_limiter& state, const core::process_id& from, const fleet::loan_reply& reply,
            core::time_point now)
{
    for (const fleet::loan_share& lent : reply.shares)
    {
        credit_one(state, lent, reply.term, from.vm, now);
    }
    for (const std::uint64_t id : reply.refused)
    {
        const auto [account, i] = find_pending(state, id, from.vm);
        if (account == nullptr)
        {
            continue;
        }
        account->borrowed[i].pending = false;
        if (!account->borrowed[i].live)
        {
            account->borrowed.erase(account->borrowed.begin() + static_cast<std::ptrdiff_t>(i));
        }
        note_refusal(state, *account, from.vm, now);
    }
}

} // namespace zinniaferry::limits
