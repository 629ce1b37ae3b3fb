/// Limits of the client accounts at one process: seats, pools of held groups, and loans both ways.
///
/// Over all processes the live caps of an account add up to at most its burst and the live rates
/// to at most its rate, so no window admits more than rate x window + burst.
///
/// A loan is a chain of generations under one id: the upper 48 bits name the chain, the lower 16
/// count its renewals. Each generation is credited once by the borrower and counted by the lender
/// until its own end, so lost, late and repeated messages only lose capacity.
#pragma once

#include "config/model.hpp"
#include "core/random.hpp"
#include "fleet/messages.hpp"
#include "limits/share.hpp"
#include "limits/strategy.hpp"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::limits
{

/// Longest time for which anything is lent. A process that has just started leaves its seats
/// unused for as long, because its former self may have lent them.
inline constexpr core::duration longest_loan_term = std::chrono::seconds(4);

struct account_limiter_options
{
    strategy way = seats_pool_and_loans;
    std::string region;                                            ///< Empty: the only one.
    core::duration loan_term = longest_loan_term;                  ///< At most longest_loan_term.
    double clock_margin = 0.02;                                    ///< Lender waits longer by this.
    core::duration hold_limit = std::chrono::milliseconds(20);     ///< Wait for a loan.
    std::size_t waiting_limit = 64;                                ///< Requests held per account.
    core::duration batch_interval = std::chrono::milliseconds(20); ///< Per peer.
    core::duration reply_limit = std::chrono::milliseconds(250);   ///< Then a loan counts as lost.
    core::duration demand_window = std::chrono::seconds(4);        ///< Of the arrival average.
    core::duration first_backoff = std::chrono::milliseconds(100); ///< After a refused loan.
    core::duration longest_backoff = std::chrono::milliseconds(1600);
    /// A configuration is in force everywhere after this time (R11). Capacity that moves between
    /// seats and pool is used by neither for this time and one loan term.
    core::duration spread_limit = std::chrono::seconds(12);
};

enum class verdict
{
    admitted,
    wait, ///< A loan is being fetched; `resolve_waiting` will name the request.
    refused
};

struct admission
{
    verdict result = verdict::refused;
    core::duration retry_after{}; ///< Set when refused; positive.
};

/// The end of a wait: admitted or refused.
struct resolution
{
    std::uint64_t request_id = 0;
    std::string account;
    admission outcome;
};

struct waiting_request
{
    std::uint64_t request_id = 0;
    core::time_point until{};
};

/// A loan taken from one peer.
struct borrowed_share
{
    std::string lender; ///< VM name.
    std::uint64_t chain = 0;
    std::uint16_t generation = 0; ///< Last asked for.
    bool live = false;            ///< A generation was credited and the share is in `bucket`.
    bool pending = false;         ///< `generation` is not answered yet.
    core::time_point asked{};
    share bucket;
};

/// One generation of a loan given, counted until `end` whatever the borrower does.
struct lent_generation
{
    double rate = 0.0;
    double cap = 0.0;
    core::time_point end{};
};

/// A loan given to one peer.
struct lent_chain
{
    core::process_id borrower;
    std::uint64_t chain = 0;
    std::uint16_t generation = 0;
    bool from_pool = false;
    std::uint32_t group = 0; ///< Of the pool.
    std::vector<lent_generation> generations;
};

struct reported_demand
{
    double rate = 0.0;
    core::time_point at{};
};

/// Capacity that this process owns: its seat, or the pool while it holds the group.
struct owned_capacity
{
    double rate = 0.0; ///< Including what is lent.
    double cap = 0.0;
    share bucket; ///< What is left.
};

struct account_state
{
    std::string name;
    bool configured = false; ///< False once removed; kept until its loans have ended.
    std::uint32_t group = 0;
    double rate = 0.0;  ///< Of the fleet.
    double burst = 0.0; ///< Of the fleet.
    double seat_fraction = 0.0;
    owned_capacity seat;
    owned_capacity pool;
    bool pool_held = false; ///< Only for pool_source::hashed_list.
    std::string holder;     ///< VM name of the pool's holder as known, may be this VM.
    core::time_point holder_refused_until{};
    core::time_point pool_from{}; ///< The pool is not used before, after a change of group.
    std::vector<borrowed_share> borrowed;
    std::vector<lent_chain> lent;
    std::map<std::string, reported_demand, std::less<>> demand_of_peers; ///< By VM.
    std::deque<waiting_request> waiting;
    double demand = 0.0; ///< Arrivals a second, exponentially weighted.
    core::time_point demand_at{};
    core::time_point next_refill{};
    core::time_point next_adjustment{}; ///< Asking for more rate without need waits for this.
    core::time_point no_loan_until{};   ///< Peers had nothing to lend.
    core::duration holder_backoff{};
    core::duration peer_backoff{};
};

/// A division of limits that was in force until lately; the smaller of old and new counts.
struct former_division
{
    std::uint32_t max_vms = 0;
    std::map<std::string, double, std::less<>> seat_fractions;
    core::time_point until{};
};

/// What is to be sent to one peer with the next batch.
struct peer_batch
{
    core::time_point last_sent = core::time_point::min();
    std::vector<fleet::loan_want> wants;
    std::vector<std::uint64_t> returns;
};

struct account_limiter
{
    core::process_id self;
    account_limiter_options options;
    core::time_point started{};
    std::uint64_t next_chain = 0;
    bool stopping = false;
    core::time_point stopping_since{};
    std::uint32_t max_vms = 0; ///< 0 until a configuration is in force.
    std::uint32_t pool_groups = 0;
    std::vector<core::time_point> group_held_until; ///< The epoch when not held.
    std::vector<former_division> former;
    std::map<std::string, account_state, std::less<>> accounts;
    std::vector<std::string> alive;   ///< VM names of peers.
    std::vector<std::string> holders; ///< VM name per group, empty when unknown.
    std::map<std::string, peer_batch, std::less<>> batches; ///< By VM.
};

/// Whom to ask for loans; both are hints. `holders` has the VM name per group, empty if unknown.
struct peer_hints
{
    std::vector<std::string> alive;
    std::vector<std::string> holders;
};

/// Returns a limiter without accounts. `now` is the start of the process: seats fill from one
/// `longest_loan_term` (plus margin) after it. Precondition: 0 < loan_term <= longest_loan_term.
/// Thread safe.
account_limiter make_account_limiter(core::process_id self, account_limiter_options options,
                                     core::time_point now);

/// Takes accounts, `max_vms`, `pool_groups` and region weights. Not thread safe for a shared
/// state, like all functions below that change it.
void apply_configuration(account_limiter& state, const config::configuration& config,
                         core::time_point now);

/// Decides on a request of `account`. After `wait`, call `flush` so that the loan is asked for at
/// once; the request stays listed until `resolve_waiting` or `cancel_waiting` names it. It waits
/// until `deadline` or the hold limit. An unknown account is refused.
admission try_admit(account_limiter& state, std::string_view account, std::uint64_t request_id,
                    core::time_point deadline, core::time_point now);

/// Returns the waiting requests that are now admitted or refused, in order of arrival per
/// account. To be called after every event.
std::vector<resolution> resolve_waiting(account_limiter& state, core::time_point now);

/// Forgets a waiting request whose caller has gone. Unknown ids are ignored.
void cancel_waiting(account_limiter& state, std::string_view account, std::uint64_t request_id);

/// Sets until when this process holds the lease of the group; a time not after `now` means that
/// it does not. To be called with every tick, from `fleet::held_until`.
void set_pool(account_limiter& state, std::uint32_t group, core::time_point held_until,
              core::time_point now);

/// Takes loan_request, loan_reply and loan_return; other messages are ignored.
std::vector<fleet::outgoing> handle(account_limiter& state, const core::process_id& from,
                                    const fleet::message_body& body, core::time_point now);

/// Renews and asks for loans, and returns the batches that are due.
std::vector<fleet::outgoing> tick(account_limiter& state, const peer_hints& peers,
                                  core::time_point now, core::random_generator& random);

/// Like `tick` with the hints of the last one; for use between ticks when a request waits.
std::vector<fleet::outgoing> flush(account_limiter& state, core::time_point now,
                                   core::random_generator& random);

/// Begins a planned stop: returns all borrowed shares and borrows no more. For one
/// `longest_loan_term` the pools go on lending, but nothing beyond the ends of the present loans,
/// so that after it the leases can be released (`pool_busy_until`) and the next holder begins at
/// once. Own seats and held pools stay usable for requests that still arrive; nothing waits any
/// more.
std::vector<fleet::outgoing> shut_down(account_limiter& state, core::time_point now);

/// Returns when the last loan from the pool of the group ends; the lease must not be released
/// before. Not later than `now` when there is none. Thread safe.
core::time_point pool_busy_until(const account_limiter& state, std::uint32_t group,
                                 core::time_point now);

/// Returns the group of an account. Precondition: groups > 0. Thread safe.
std::uint32_t group_of(std::string_view account, std::uint32_t groups);

/// Returns the state for the state dump. Thread safe.
boost::json::object dump(const account_limiter& state, core::time_point now);

} // namespace zinniaferry::limits
