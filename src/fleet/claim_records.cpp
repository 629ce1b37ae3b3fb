#include "fleet/claim_records.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

// More sources than a majority, so that one slow or new voter does not hold up the copy.
constexpr std::size_t spare_sources = 2;

std::uint64_t holder_hash(const key_holder& holder)
{
    // Zero stands for "several", so it is not given to a single holder.
    return holder.claimer == 0 ? 0
                               : (holder.claimer ^ (holder.claim_id * 0x9E3779B97F4A7C15ULL)) | 1U;
}

void forget_expired(key_record& record, core::time_point now)
{
    const auto end =
        std::remove_if(record.holders.begin(), record.holders.end(),
                       [&](const key_holder& holder) { return holder.expires <= now; });
    record.holders.erase(end, record.holders.end());
}

void renew_position(claims& state, const claim_key& key, key_record& record)
{
    record.sequence = ++state.last_sequence;
    state.order.push_back({record.sequence, key});
}

bool is_full(const claims& state)
{
    // Releases and repeated attempts leave entries in the order that are out of date.
    return state.records.size() >= state.options.max_records ||
           state.order.size() >= 2 * state.options.max_records;
}

// A claim with a label began after this process started, if the label is later than the start by
// more than the skew of two wall clocks. A label in the future says nothing.
bool vouches_for(const claims& state, core::unix_time first_sent, core::time_point now)
{
    if (is_voter(state, now))
    {
        return true;
    }
    const auto wall = core::unix_time(std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch() + state.wall_offset));
    const auto skew = std::chrono::ceil<std::chrono::milliseconds>(state.options.label_skew);
    const auto by_age = wall - std::chrono::floor<std::chrono::milliseconds>(now - state.started);
    return first_sent <= wall + skew && first_sent >= std::max(state.started_wall, by_age) + skew;
}

// Returns the record without expired holders, or nullptr when nobody holds the key.
key_record* find_held(claims& state, const claim_key& key, core::time_point now)
{
    const auto found = state.records.find(key);
    if (found == state.records.end())
    {
        return nullptr;
    }
    forget_expired(found->second, now);
    if (found->second.holders.empty())
    {
        state.records.erase(found);
        return nullptr;
    }
    return &found->second;
}

void merge(claims& state, const claim_key& key, key_holder holder)
{
    key_record& record = state.records[key];
    const auto find_same = [&]
    {
        return std::find_if(record.holders.begin(), record.holders.end(),
                            [&](const key_holder& known) {
                                return known.claimer == holder.claimer &&
                                       known.claim_id == holder.claim_id;
                            });
    };
    auto same = find_same();
    if (same == record.holders.end() && record.holders.size() >= state.options.max_holders)
    {
        // The holder of zeros matches no claim, so the key stays blocked until it expires.
        holder = {.expires = holder.expires};
        same = find_same();
    }
    if (same == record.holders.end())
    {
        record.holders.push_back(holder);
    }
    else
    {
        same->attempt = std::max(same->attempt, holder.attempt);
        same->expires = std::max(same->expires, holder.expires);
    }
    renew_position(state, key, record);
}

records_reply make_page(const claims& state, const records_request& message, core::time_point now)
{
    records_reply page{.round = message.round,
                       .after = message.after,
                       .next = message.after,
                       .voter = is_voter(state, now)};
    if (!page.voter)
    {
        return page;
    }
    auto position = std::upper_bound(state.order.begin(), state.order.end(), message.after,
                                     [](std::uint64_t after, const record_position& entry)
                                     { return after < entry.sequence; });
    const core::duration lifetime = record_lifetime(state.options);
    for (; position != state.order.end() && page.records.size() < state.options.page_records;
         ++position)
    {
        page.next = position->sequence;
        const auto found = state.records.find(position->key);
        if (found == state.records.end() || found->second.sequence != position->sequence)
        {
            continue;
        }
        for (const key_holder& holder : found->second.holders)
        {
            if (holder.expires > now)
            {
                page.records.push_back(
                    {.key_hash = position->key.first,
                     .key_hash2 = position->key.second,
                     .claimer = holder.claimer,
                     .claim_id = holder.claim_id,
                     .attempt = holder.attempt,
                     .age = std::max(core::duration::zero(), lifetime - (holder.expires - now))});
            }
        }
    }
    page.last = position == state.order.end();
    return page;
}

std::size_t copied(const claims& state)
{
    return static_cast<std::size_t>(std::count_if(state.sources.begin(), state.sources.end(),
                                                  [](const auto& entry)
                                                  { return entry.second.done; }));
}

void become_voter(claims& state, bool by_age)
{
    state.standing = voter_standing::voter;
    state.voter_by_age = by_age;
    state.sources.clear();
}

// Whether some voter has sent a page of its records.
bool hears_voters(const claims& state)
{
    return std::any_of(state.sources.begin(), state.sources.end(),
                       [](const auto& entry)
                       { return entry.second.done || entry.second.next != 0; });
}

// A majority and a few more are asked until a voter answers, another random choice each time; after
// that all that have not finished.
std::vector<outgoing> ask_for_pages(claims& state, core::time_point now,
                                    core::random_generator& random)
{
    const bool first = state.copy_round == 0;
    const bool voters_heard = hears_voters(state);
    while (state.copy_round == 0)
    {
        state.copy_round = random();
    }
    std::vector<std::string> vms;
    for (const std::string& vm : state.peers)
    {
        if (!state.sources[vm].done)
        {
            vms.push_back(vm);
        }
    }
    std::shuffle(vms.begin(), vms.end(), random);
    if (!voters_heard)
    {
        vms.resize(
            std::min<std::size_t>(vms.size(), majority_of(state.options.max_vms) + spare_sources));
    }
    std::vector<outgoing> out;
    for (std::string& vm : vms)
    {
        const records_request request{state.copy_round, state.sources[vm].next};
        out.push_back({std::move(vm), request});
    }
    // With a voter in sight the rounds are repeats of lost messages and must be quick.
    state.copy_wait = first || voters_heard
                          ? state.options.copy_timeout
                          : std::min(2 * state.copy_wait, state.options.longest_copy_wait);
    state.copy_asked = now;
    return out;
}

} // namespace

claim_reply vote(claims& state, std::uint64_t claimer, const claim_request& message,
                 core::time_point now)
{
    claim_reply reply{.claim_id = message.claim_id, .attempt = message.attempt};
    const claim_key key{message.key_hash, message.key_hash2};
    key_record* record = find_held(state, key, now);
    const key_holder mine{.claimer = claimer,
                          .claim_id = message.claim_id,
                          .attempt = message.attempt,
                          .expires = now + record_lifetime(state.options)};
    if (record != nullptr)
    {
        key_holder& holder = record->holders.front();
        const bool own = record->holders.size() == 1 && holder.claimer == claimer &&
                         holder.claim_id == message.claim_id && holder.attempt <= message.attempt;
        if (!own)
        {
            reply.result = claim_reply::verdict::taken;
            reply.holder = record->holders.size() == 1 ? holder_hash(holder) : 0;
            return reply;
        }
        if (vouches_for(state, message.first_sent, now))
        {
            reply.result = claim_reply::verdict::acknowledged;
            if (holder.attempt < message.attempt)
            {
                holder = mine;
                renew_position(state, key, *record);
            }
        }
        return reply;
    }
    if (!vouches_for(state, message.first_sent, now))
    {
        return reply;
    }
    if (is_full(state))
    {
        ++state.refused_full;
        return reply;
    }
    key_record& added = state.records[key];
    added.holders.push_back(mine);
    renew_position(state, key, added);
    reply.result = claim_reply::verdict::acknowledged;
    return reply;
}

void release_record(claims& state, std::uint64_t claimer, const claim_release& message)
{
    const auto found = state.records.find({message.key_hash, message.key_hash2});
    if (found == state.records.end())
    {
        return;
    }
    auto& holders = found->second.holders;
    const auto end = std::remove_if(holders.begin(), holders.end(),
                                    [&](const key_holder& holder)
                                    {
                                        return holder.claimer == claimer &&
                                               holder.claim_id == message.claim_id &&
                                               holder.attempt <= message.attempt;
                                    });
    holders.erase(end, holders.end());
    if (holders.empty())
    {
        state.records.erase(found);
    }
}

void drop_expired(claims& state, core::time_point now)
{
    while (!state.order.empty())
    {
        const record_position& oldest = state.order.front();
        const auto found = state.records.find(oldest.key);
        if (found != state.records.end() && found->second.sequence == oldest.sequence)
        {
            forget_expired(found->second, now);
            if (!found->second.holders.empty())
            {
                return;
            }
            state.records.erase(found);
        }
        state.order.pop_front();
    }
}

std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const records_request& message, core::time_point now)
{
    return {{from.vm, make_page(state, message, now)}};
}

std::vector<outgoing> handle(claims& state, const core::process_id& from,
                             const records_reply& message, core::time_point now)
{
    const auto found = state.sources.find(from.vm);
    if (state.standing != voter_standing::copying || message.round != state.copy_round ||
        found == state.sources.end() || found->second.done)
    {
        return {};
    }
    copy_source& source = found->second;
    // A restarted voter has other sequence numbers, and one that is not a voter has gaps.
    if (!message.voter || (source.next != 0 && source.id != from))
    {
        source = {};
        return {};
    }
    if (message.after != source.next)
    {
        return {};
    }
    const core::duration lifetime = record_lifetime(state.options);
    for (const claim_record& record : message.records)
    {
        // A copy that does not fit leaves a gap, so this source does not count.
        if (is_full(state))
        {
            ++state.refused_full;
            source = {};
            return {};
        }
        merge(state, {record.key_hash, record.key_hash2},
              {.claimer = record.claimer,
               .claim_id = record.claim_id,
               .attempt = record.attempt,
               .expires = now + lifetime - record.age});
    }
    source.id = from;
    source.next = message.next;
    source.done = message.last;
    if (copied(state) >= majority_of(state.options.max_vms))
    {
        become_voter(state, false);
        return {};
    }
    if (source.done)
    {
        return {};
    }
    return {{from.vm, records_request{state.copy_round, source.next}}};
}

std::vector<outgoing> tick_copy(claims& state, core::time_point now, core::random_generator& random)
{
    if (state.standing == voter_standing::voter)
    {
        return {};
    }
    const core::duration alive = now - state.started;
    if (alive >= record_lifetime(state.options))
    {
        become_voter(state, true);
        return {};
    }
    // Claims that began before this process started have ended by then, so that all of their
    // records that count are at their voters before the copy.
    const core::duration wait = core::from_seconds(core::to_seconds(state.options.claim_term) *
                                                   (1.0 + state.options.clock_margin));
    if (alive < wait ||
        (state.standing == voter_standing::copying && now - state.copy_asked < state.copy_wait))
    {
        return {};
    }
    state.standing = voter_standing::copying;
    return ask_for_pages(state, now, random);
}

} // namespace zinniaferry::fleet
