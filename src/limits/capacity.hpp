/// Capacity of an account at one process: what it owns, what is lent, and what is left. Shared by
/// the parts of the account limiter; the daemon uses `account_limiter.hpp`.
#pragma once

#include "limits/account_limiter.hpp"

namespace zinniaferry::limits
{

/// Names the loan of `chain` at `generation`. Thread safe.
constexpr std::uint64_t loan_id(std::uint64_t chain, std::uint16_t generation)
{
    return (chain << 16U) | generation;
}

constexpr std::uint64_t chain_of(std::uint64_t id)
{
    return id >> 16U;
}

constexpr std::uint16_t generation_of(std::uint64_t id)
{
    return static_cast<std::uint16_t>(id & 0xFFFFU);
}

/// Rounds a number in a message to a multiple of 1/1024. The packed encoding leaves out the zero
/// bytes of the mantissa that remain. Thread safe.
double rounded_down(double value);
double rounded_up(double value);

/// Returns `term` as the lender counts it, longer by the margin for clock rate. Thread safe.
core::duration lender_term(const account_limiter_options& options, core::duration term);

/// Returns the account if it is configured, else nullptr. Not thread safe for a shared state.
account_state* find_configured(account_limiter& state, std::string_view name);

/// Returns whether this process may use the pool of the account at `now`. Thread safe.
bool is_pool_active(const account_limiter& state, const account_state& account,
                    core::time_point now);

/// Ends what has ended: loans both ways, a lapsed pool; then sets seat and pool to what is owned
/// less what is lent. To be called before any use of the account's shares. Not thread safe.
void refresh(account_limiter& state, account_state& account, core::time_point now);

/// Returns rate and cap of a loan that may be in use: the largest of its live generations, since
/// the borrower may hold any of them. Thread safe.
lent_generation reserved_by(const lent_chain& chain, core::time_point now);

/// Returns the shares that a request may take from, in the order of use. Not thread safe.
std::vector<share*> usable_shares(account_state& account);

/// Returns the arrivals a second as of `now`. Thread safe.
double demand_now(const account_limiter& state, const account_state& account, core::time_point now);

/// Returns whether an arrival rate rests on enough arrivals to be more than noise. Below that,
/// whole tokens are lent for the requests that wait instead of a rate. Thread safe.
bool is_significant(const account_limiter& state, double demand);

/// Returns whether a loan is on its way or somebody may be asked for one. Thread safe.
bool can_borrow(const account_limiter& state, const account_state& account, core::time_point now);

/// Queues the return of a loan and forgets it, so that it is never credited again.
void give_back(account_limiter& state, account_state& account, std::size_t index);

/// Asks for new and renewed loans as the account's demand requires; fills the batches.
void plan_loans(account_limiter& state, account_state& account, core::time_point now,
                core::random_generator& random);

/// Returns the batches that are due by the interval per peer, and empties them.
std::vector<fleet::outgoing> take_due_batches(account_limiter& state, core::time_point now,
                                              bool regardless_of_interval);

/// The borrower's side of loan_reply.
void credit(account_limiter& state, const core::process_id& from, const fleet::loan_reply& reply,
            core::time_point now);

/// The lender's side of loan_request. Replies are split by term.
std::vector<fleet::outgoing> lend(account_limiter& state, const core::process_id& from,
                                  const fleet::loan_request& request, core::time_point now);

/// The lender's side of loan_return.
void take_back(account_limiter& state, const core::process_id& from,
               const fleet::loan_return& returned, core::time_point now);

} // namespace zinniaferry::limits
