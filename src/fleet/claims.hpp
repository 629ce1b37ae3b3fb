/// Claims of idempotency keys at a majority, so that a request that must run at most once is
/// forwarded by at most one process within the window.
#pragma once

#include "core/random.hpp"
#include "fleet/messages.hpp"

#include <boost/container/small_vector.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace zinniaferry::fleet
{

struct claims_options
{
    core::process_id self;
    std::uint32_t max_vms = 20;
    core::duration idempotency_window = std::chrono::seconds(120);
    core::duration claim_term = std::chrono::seconds(2);
    double clock_margin = 0.02; ///< Largest difference of clock rates that is provided for.
    core::duration label_skew = std::chrono::seconds(1); ///< Of the wall clocks of two machines.
    core::duration round_timeout = std::chrono::milliseconds(200); ///< Waiting for verdicts.
    core::duration retry_delay = std::chrono::milliseconds(10);    ///< First random delay, doubled.
    core::duration retry_delay_limit = std::chrono::milliseconds(160);
    std::size_t max_records = 150'000; ///< About 140 bytes each; a full store refuses.
    std::size_t max_claims = 10'000;   ///< Open at once in this process.
    std::size_t max_holders = 4;       ///< Of one key; more block it until they expire.
    std::size_t page_records = 1'000;
    core::duration copy_timeout = std::chrono::seconds(1); ///< Then other voters are asked too.
    /// Longest time between rounds while no voter answers. In a fleet that has just started nobody
    /// is a voter for a whole window, and each round costs messages to and from all peers.
    core::duration longest_copy_wait = std::chrono::seconds(8);
};

/// 128 bits that stand for account and idempotency key.
struct claim_key
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;

    bool operator==(const claim_key&) const = default;
};

struct claim_key_hash
{
    std::size_t operator()(const claim_key& key) const noexcept { return key.first; }
};

enum class claim_outcome
{
    claimed, ///< A majority acknowledged; check `start_forwarding` before use.
    taken,   ///< A majority holds the key for one other claim; HTTP 409, outcome unknown.
    failed   ///< No majority within the deadline; an earlier attempt may have run.
};

struct claim_event
{
    std::uint64_t claim_id = 0;
    claim_outcome outcome = claim_outcome::failed;
};

enum class claim_phase
{
    asking,
    waiting, ///< For the next attempt.
    claimed,
    forwarded
};

/// A claim on the claimer's side.
struct open_claim
{
    claim_key key;
    core::unix_time first_sent{};
    core::time_point deadline{};
    claim_phase phase = claim_phase::asking;
    std::uint32_t attempt = 1;
    core::time_point attempt_start{};
    core::time_point next_attempt{};
    std::unordered_set<core::process_id> acknowledged;
    std::unordered_set<core::process_id> refused;   ///< Taken or not a voter.
    std::map<std::uint64_t, std::uint32_t> holders; ///< Verdicts taken, by holder.
};

/// One claim that a voter has recorded for a key.
struct key_holder
{
    std::uint64_t claimer = 0;
    std::uint64_t claim_id = 0;
    std::uint32_t attempt = 0;
    core::time_point expires{};
};

/// What a voter knows of one key. Only a sole holder may be acknowledged again. Several holders
/// come from copies that differ; then one of them may have a majority. A holder of zeros stands
/// for more than `max_holders` and matches no claim.
struct key_record
{
    boost::container::small_vector<key_holder, 1> holders;
    std::uint64_t sequence = 0; ///< Order of the pages; renewed with each change.
};

/// Entry of the order in which pages are sent; out of date when the record has a later sequence.
struct record_position
{
    std::uint64_t sequence = 0;
    claim_key key;
};

/// Progress of the copy from one voter.
struct copy_source
{
    core::process_id id; ///< Empty until the first page; another incarnation starts anew.
    std::uint64_t next = 0;
    bool done = false;
};

enum class voter_standing
{
    starting, ///< Waits out claims that began before this process.
    copying,
    voter
};

/// State of the module; owned by one thread.
struct claims
{
    claims_options options;
    std::vector<std::string> peers; ///< VM names, without the own.
    core::time_point started{};
    core::unix_time started_wall{};
    core::duration wall_offset{}; ///< Wall clock less logical time.

    std::unordered_map<std::uint64_t, open_claim> open;
    std::uint64_t last_claim_id = 0;
    std::vector<claim_event> events;

    voter_standing standing = voter_standing::starting;
    std::unordered_map<claim_key, key_record, claim_key_hash> records;
    std::deque<record_position> order; ///< Ascending by sequence.
    std::uint64_t last_sequence = 0;
    bool voter_by_age = false;
    std::uint64_t copy_round = 0;
    core::time_point copy_asked{};
    core::duration copy_wait{}; ///< From then until the next round.
    std::map<std::string, copy_source> sources;
    std::uint64_t refused_full = 0;
};

/// Returns the key of an account and an idempotency key. Thread safe.
claim_key make_claim_key(std::string_view account, std::string_view idempotency_key);

/// Builds the state of a process that has just started: it claims, but is no voter yet. Thread
/// safe. `wall` is the wall clock at `now`.
claims make_claims(claims_options options, core::time_point now, core::unix_time wall);

/// Takes `max_vms` and the window of a configuration that came into force. A longer window makes
/// the process wait anew before it votes by age. Not thread safe, as all functions below that
/// change the state.
void apply_configuration(claims& state, std::uint32_t max_vms, core::duration window,
                         core::time_point now);

/// Takes the VMs to ask, without the own.
void set_peers(claims& state, std::vector<std::string> peers);

struct begun_claim
{
    std::uint64_t claim_id = 0; ///< 0 when too many claims are open; the request is unknown.
    std::vector<outgoing> messages;
};

/// Starts a claim for a request with an idempotency key. `first_sent` is the caller's label, the
/// epoch when there is none. The result comes as an event.
begun_claim begin_claim(claims& state, std::string_view account, std::string_view key,
                        core::unix_time first_sent, core::time_point deadline,
                        core::time_point now);

/// Tells whether the claim has a majority and its term has not ended.
bool may_forward(const claims& state, std::uint64_t claim_id, core::time_point now);

/// Marks the claim as forwarded and returns true, or returns false when `may_forward` is false.
/// The driver sends the first byte in the same event, only after true.
bool start_forwarding(claims& state, std::uint64_t claim_id, core::time_point now);

/// Ends a claim. A claim that was not forwarded is released at the voters; a forwarded one keeps
/// its records until they expire.
std::vector<outgoing> end_claim(claims& state, std::uint64_t claim_id, core::time_point now);

/// Ends a claim whose request certainly did not run, although it may have been forwarded: the
/// connection failed before the first byte, or the backend server states that it did not run it.
/// The key may then be claimed again at once.
std::vector<outgoing> end_claim_not_run(claims& state, std::uint64_t claim_id,
                                        core::time_point now);

/// Returns and clears the results since the last call. A claim stays open after `claimed` until
/// `end_claim`; after the other outcomes it is closed.
std::vector<claim_event> take_events(claims& state);

std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const claim_request& message, core::time_point now);
std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const claim_reply& message, core::time_point now);
std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const claim_release& message, core::time_point now);
std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const records_request& message, core::time_point now);
std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const records_reply& message, core::time_point now);

/// Starts attempts and copies that are due, and drops expired records. Call every 10 ms.
std::vector<outgoing> tick(claims& state, core::unix_time wall, core::time_point now,
                           core::random_generator& random);

/// Tells whether this process may acknowledge claims without a label.
bool is_voter(const claims& state, core::time_point now);

/// Returns how long a voter keeps a record: the window, the term in which the request may still
/// be forwarded, and the margin of the clocks.
core::duration record_lifetime(const claims_options& options);

boost::json::object dump(const claims& state, core::time_point now);

} // namespace zinniaferry::fleet
