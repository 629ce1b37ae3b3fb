#include "fleet/claims.hpp"

#include "fleet/claim_records.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

core::duration lengthened(core::duration value, double margin)
{
    return core::from_seconds(core::to_seconds(value) * (1.0 + margin));
}

// The claimer ends early by the margin, so that voters that count more slowly still agree.
core::time_point term_end(const claims& state, const open_claim& claim)
{
    return claim.attempt_start + core::from_seconds(core::to_seconds(state.options.claim_term) *
                                                    (1.0 - state.options.clock_margin));
}

void send_to_peers(const claims& state, const message_body& body, std::vector<outgoing>& out)
{
    for (const std::string& vm : state.peers)
    {
        out.push_back({vm, body});
    }
}

void release(claims& state, std::uint64_t claim_id, const open_claim& claim,
             std::vector<outgoing>& out)
{
    const claim_release message{.claim_id = claim_id,
                                .attempt = claim.attempt,
                                .key_hash = claim.key.first,
                                .key_hash2 = claim.key.second};
    release_record(state, hash_of(state.options.self), message);
    send_to_peers(state, message, out);
}

void close(claims& state, std::uint64_t claim_id, claim_outcome outcome)
{
    state.events.push_back({claim_id, outcome});
    state.open.erase(claim_id);
}

// An attempt without a majority was never forwarded and never will be, so it may be released.
void fail_attempt(claims& state, std::uint64_t claim_id, core::time_point now,
                  std::vector<outgoing>& out)
{
    open_claim& claim = state.open.at(claim_id);
    release(state, claim_id, claim, out);
    if (now >= claim.deadline)
    {
        close(state, claim_id, claim_outcome::failed);
        return;
    }
    claim.phase = claim_phase::waiting;
    claim.next_attempt = core::time_point::max(); // The next tick draws the delay.
}

void judge_attempt(claims& state, std::uint64_t claim_id, core::time_point now,
                   std::vector<outgoing>& out)
{
    open_claim& claim = state.open.at(claim_id);
    const std::uint32_t majority = majority_of(state.options.max_vms);
    if (claim.acknowledged.size() >= majority)
    {
        claim.phase = claim_phase::claimed;
        state.events.push_back({claim_id, claim_outcome::claimed});
        return;
    }
    std::uint32_t most = 0; // Verdicts that name the same other claim.
    for (const auto& [holder, verdicts] : claim.holders)
    {
        most = std::max(most, verdicts);
    }
    const std::size_t answered = claim.acknowledged.size() + claim.refused.size();
    const std::size_t outstanding =
        state.peers.size() + 1 - std::min(answered, state.peers.size() + 1);
    if (most >= majority)
    {
        release(state, claim_id, claim, out);
        close(state, claim_id, claim_outcome::taken);
    }
    // An even fleet can refuse by half. Then the rest of the verdicts tells whether one other claim
    // has a majority or the vote was split.
    else if (claim.refused.size() + majority > state.options.max_vms &&
             most + outstanding < majority)
    {
        fail_attempt(state, claim_id, now, out);
    }
}

void count_verdict(claims& state, const core::process_id& from, const claim_reply& reply,
                   core::time_point now, std::vector<outgoing>& out)
{
    const auto found = state.open.find(reply.claim_id);
    if (found == state.open.end() || found->second.phase != claim_phase::asking ||
        found->second.attempt != reply.attempt || now >= term_end(state, found->second))
    {
        return;
    }
    open_claim& claim = found->second;
    if (reply.result == claim_reply::verdict::acknowledged)
    {
        claim.acknowledged.insert(from);
    }
    else if (claim.refused.insert(from).second && reply.result == claim_reply::verdict::taken &&
             reply.holder != 0)
    {
        ++claim.holders[reply.holder];
    }
    judge_attempt(state, reply.claim_id, now, out);
}

void start_attempt(claims& state, std::uint64_t claim_id, core::time_point now,
                   std::vector<outgoing>& out)
{
    open_claim& claim = state.open.at(claim_id);
    claim.phase = claim_phase::asking;
    claim.attempt_start = now;
    claim.acknowledged.clear();
    claim.refused.clear();
    claim.holders.clear();
    const claim_request message{.claim_id = claim_id,
                                .attempt = claim.attempt,
                                .key_hash = claim.key.first,
                                .key_hash2 = claim.key.second,
                                .first_sent = claim.first_sent,
                                .max_vms = state.options.max_vms};
    send_to_peers(state, message, out);
    const core::process_id self = state.options.self;
    count_verdict(state, self, vote(state, hash_of(self), message, now), now, out);
}

void draw_delay(const claims_options& options, open_claim& claim, core::time_point now,
                core::random_generator& random)
{
    const std::uint32_t doublings = std::min(claim.attempt - 1, 16U);
    const core::duration limit =
        std::min(options.retry_delay_limit, options.retry_delay * (1L << doublings));
    claim.next_attempt = now + core::from_seconds(core::to_seconds(limit) * core::uniform(random));
    ++claim.attempt;
}

void tick_claim(claims& state, std::uint64_t claim_id, core::time_point now,
                core::random_generator& random, std::vector<outgoing>& out)
{
    open_claim& claim = state.open.at(claim_id);
    if (claim.phase == claim_phase::asking && now >= claim.deadline)
    {
        release(state, claim_id, claim, out);
        close(state, claim_id, claim_outcome::failed);
    }
    else if (claim.phase == claim_phase::asking &&
             now - claim.attempt_start >= state.options.round_timeout)
    {
        fail_attempt(state, claim_id, now, out);
    }
    else if (claim.phase == claim_phase::waiting)
    {
        if (claim.next_attempt == core::time_point::max())
        {
            draw_delay(state.options, claim, now, random);
        }
        if (now >= claim.deadline || claim.next_attempt >= claim.deadline)
        {
            close(state, claim_id, claim_outcome::failed);
        }
        else if (now >= claim.next_attempt)
        {
            start_attempt(state, claim_id, now, out);
        }
    }
}

} // namespace

claim_key make_claim_key(std::string_view account, std::string_view idempotency_key)
{
    // The length keeps account "a" with key "bc" apart from account "ab" with key "c".
    const core::digest digest = core::sha256(std::to_string(account.size()) + ':' +
                                             std::string(account) + std::string(idempotency_key));
    claim_key key;
    for (std::size_t i = 0; i < 8; ++i)
    {
        key.first = key.first << 8U | digest[i];
        key.second = key.second << 8U | digest[8 + i];
    }
    return key;
}

core::duration record_lifetime(const claims_options& options)
{
    return lengthened(options.idempotency_window + options.claim_term, options.clock_margin);
}

claims make_claims(claims_options options, core::time_point now, core::unix_time wall)
{
    claims state;
    state.options = std::move(options);
    state.started = now;
    state.started_wall = wall;
    state.wall_offset = wall.time_since_epoch() - now.time_since_epoch();
    return state;
}

void apply_configuration(claims& state, std::uint32_t max_vms, core::duration window,
                         core::time_point now)
{
    state.options.max_vms = max_vms;
    state.options.idempotency_window = window;
    if (state.voter_by_age && now - state.started < record_lifetime(state.options))
    {
        state.voter_by_age = false;
        state.standing = voter_standing::copying;
    }
}

void set_peers(claims& state, std::vector<std::string> peers)
{
    state.peers = std::move(peers);
}

begun_claim begin_claim(claims& state, std::string_view account, std::string_view key,
                        core::unix_time first_sent, core::time_point deadline, core::time_point now)
{
    begun_claim begun;
    if (state.open.size() >= state.options.max_claims)
    {
        return begun;
    }
    begun.claim_id = ++state.last_claim_id;
    state.open[begun.claim_id] = {
        .key = make_claim_key(account, key), .first_sent = first_sent, .deadline = deadline};
    start_attempt(state, begun.claim_id, now, begun.messages);
    return begun;
}

bool may_forward(const claims& state, std::uint64_t claim_id, core::time_point now)
{
    const auto found = state.open.find(claim_id);
    return found != state.open.end() && found->second.phase == claim_phase::claimed &&
           now < term_end(state, found->second);
}

bool start_forwarding(claims& state, std::uint64_t claim_id, core::time_point now)
{
    if (!may_forward(state, claim_id, now))
    {
        return false;
    }
    state.open.at(claim_id).phase = claim_phase::forwarded;
    return true;
}

std::vector<outgoing> end_claim(claims& state, std::uint64_t claim_id, core::time_point)
{
    std::vector<outgoing> out;
    const auto found = state.open.find(claim_id);
    if (found == state.open.end())
    {
        return out;
    }
    if (found->second.phase != claim_phase::forwarded)
    {
        release(state, claim_id, found->second, out);
    }
    state.open.erase(found);
    return out;
}

std::vector<outgoing> end_claim_not_run(claims& state, std::uint64_t claim_id, core::time_point)
{
    std::vector<outgoing> out;
    const auto found = state.open.find(claim_id);
    if (found != state.open.end())
    {
        release(state, claim_id, found->second, out);
        state.open.erase(found);
    }
    return out;
}

std::vector<claim_event> take_events(claims& state)
{
    return std::exchange(state.events, {});
}

std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const claim_request& message, core::time_point now)
{
    return {{from.vm, vote(state, hash_of(from), message, now)}};
}

std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const claim_reply& message, core::time_point now)
{
    std::vector<outgoing> out;
    count_verdict(state, from, message, now, out);
    return out;
}

std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const claim_release& message, core::time_point)
{
    release_record(state, hash_of(from), message);
    return {};
}

std::vector<outgoing> tick(claims& state, core::unix_time wall, core::time_point now,
                           core::random_generator& random)
{
    state.wall_offset = wall.time_since_epoch() - now.time_since_epoch();
    std::vector<outgoing> out = tick_copy(state, now, random);
    drop_expired(state, now);
    std::vector<std::uint64_t> due;
    for (const auto& [claim_id, claim] : state.open)
    {
        if (claim.phase == claim_phase::asking || claim.phase == claim_phase::waiting)
        {
            due.push_back(claim_id);
        }
    }
    std::sort(due.begin(), due.end()); // The order of a hash table is not the same everywhere.
    for (const std::uint64_t claim_id : due)
    {
        tick_claim(state, claim_id, now, random, out);
    }
    return out;
}

bool is_voter(const claims& state, core::time_point)
{
    return state.standing == voter_standing::voter;
}

boost::json::object dump(const claims& state, core::time_point now)
{
    static constexpr const char* names[] = {"starting", "copying", "voter"};
    const auto copied = std::count_if(state.sources.begin(), state.sources.end(),
                                      [](const auto& entry) { return entry.second.done; });
    return {{"standing", names[static_cast<int>(state.standing)]},
            {"open", state.open.size()},
            {"records", state.records.size()},
            {"copied_from", copied},
            {"refused_full", state.refused_full},
            {"age_s", core::to_seconds(now - state.started)}};
}

} // namespace zinniaferry::fleet
