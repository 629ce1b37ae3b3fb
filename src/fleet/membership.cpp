#include "fleet/membership.hpp"

#include <algorithm>
#include <set>

namespace zinniaferry::fleet
{

namespace
{

void note_time(membership& state, core::time_point now)
{
    if (now - state.last_active > state.options.pause_limit)
    {
        state.settled_at = now + state.options.settle_time;
    }
    state.last_active = std::max(state.last_active, now);
}

bool is_self(const membership& state, const core::process_id& id)
{
    return id.vm == state.options.self.vm;
}

peer_state state_at(const membership_options& options, const peer_entry& peer, core::time_point now)
{
    const core::duration unheard = now - peer.last_sign;
    if (unheard > options.gone_after)
    {
        return peer_state::gone;
    }
    return unheard > options.suspect_after ? peer_state::suspect : peer_state::alive;
}

// A peer is entered by its first message, so that a VM that the list does not name yet is known.
peer_entry* find_or_add(membership& state, const core::process_id& from)
{
    const auto found = state.peers.find(from.vm);
    if (found != state.peers.end())
    {
        return &found->second;
    }
    return state.peers.size() < state.options.max_peers ? &state.peers[from.vm] : nullptr;
}

void note_identity(membership& state, peer_entry& peer, const core::process_id& from)
{
    if (peer.id == from)
    {
        return;
    }
    state.vm_by_hash.erase(hash_of(peer.id));
    peer.id = from;
    peer.leaving = false;
    state.vm_by_hash[hash_of(from)] = from.vm;
}

void raise(std::optional<core::time_point>& value, core::time_point candidate)
{
    value = value ? std::max(*value, candidate) : candidate;
}

void note_hash(membership& state, std::uint64_t hash, core::time_point at)
{
    const auto found = state.heard.find(hash);
    if (found != state.heard.end())
    {
        found->second = std::max(found->second, at);
    }
    else if (state.heard.size() < state.options.max_peers)
    {
        state.heard.emplace(hash, at);
    }
}

void take_entries(membership& state, const heartbeat& message, core::time_point now)
{
    for (const heard_process& entry : message.heard)
    {
        if (entry.age < core::duration::zero() || entry.age > state.options.gone_after ||
            entry.process_hash == hash_of(state.options.self))
        {
            continue;
        }
        note_hash(state, entry.process_hash, now - entry.age);
        const auto vm = state.vm_by_hash.find(entry.process_hash);
        if (vm != state.vm_by_hash.end())
        {
            core::time_point& sign = state.peers[vm->second].last_sign;
            sign = std::max(sign, now - entry.age);
        }
    }
}

// Entries that were heard through peers are sent on with their whole age. The choice among them
// changes with each heartbeat: if all processes sent the freshest ones, the same few would be sent
// again and again.
std::vector<heard_process> entries_for(const membership& state, core::time_point now)
{
    std::vector<std::pair<std::uint64_t, heard_process>> ranked;
    for (const auto& [hash, at] : state.heard)
    {
        if (now - at <= state.options.entry_limit)
        {
            const std::uint64_t rank = (hash ^ state.heartbeats_made) * 0x9E3779B97F4A7C15ULL;
            ranked.push_back({rank ^ (rank >> 29U), {hash, now - at}});
        }
    }
    const std::size_t count = std::min(ranked.size(), state.options.max_entries);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<heard_process> entries;
    for (std::size_t i = 0; i < count; ++i)
    {
        entries.push_back(ranked[i].second);
    }
    return entries;
}

// The number of heartbeats that arrive varies: of the 12 that a process gets in 4 s on average it
// gets at most 3 in 0.2% of the time (Poisson). So it asks for answers before it would count as
// isolated.
bool lacks_evidence(const membership& state, core::time_point now)
{
    const core::duration limit = state.options.isolation_limit;
    return service_age(state, now) > limit / 2 &&
           count_heard(state, limit * 3 / 4, now) < majority_of(state.options.max_vms);
}

heartbeat make_heartbeat(membership& state, core::time_point now)
{
    ++state.heartbeats_made;
    return {.config_version = state.status.config_version,
            .config_digest = state.status.config_digest,
            .service_age = service_age(state, now),
            .leaving = state.status.leaving,
            .wants_reply = !state.status.ready,
            .heard = entries_for(state, now)};
}

// One VM of the list that is gone is tried as well, so that a split that heals is noticed.
std::vector<std::string> choose_targets(const membership& state, std::size_t wanted,
                                        core::time_point now, core::random_generator& random)
{
    std::vector<std::string> present;
    std::vector<std::string> lost;
    for (const auto& [vm, peer] : state.peers)
    {
        if (state_at(state.options, peer, now) != peer_state::gone)
        {
            present.push_back(vm);
        }
        else if (peer.listed)
        {
            lost.push_back(vm);
        }
    }
    const std::size_t count = std::min(present.size(), wanted);
    for (std::size_t i = 0; i < count; ++i)
    {
        std::swap(present[i], present[i + core::uniform_index(random, present.size() - i)]);
    }
    present.resize(count);
    if (!lost.empty())
    {
        present.push_back(lost[core::uniform_index(random, lost.size())]);
    }
    return present;
}

void drop_old_entries(membership& state, core::time_point now)
{
    std::erase_if(state.heard,
                  [&](const auto& entry) { return now - entry.second > state.options.gone_after; });
    std::erase_if(state.peers,
                  [&](const auto& entry)
                  {
                      const bool drop =
                          !entry.second.listed &&
                          state_at(state.options, entry.second, now) == peer_state::gone;
                      if (drop)
                      {
                          state.vm_by_hash.erase(hash_of(entry.second.id));
                      }
                      return drop;
                  });
}

} // namespace

membership make_membership(membership_options options, core::time_point now)
{
    membership state;
    state.options = std::move(options);
    state.next_heartbeat = now;
    state.last_active = now;
    state.settled_at = now;
    return state;
}

void apply_max_vms(membership& state, std::uint32_t max_vms)
{
    state.options.max_vms = max_vms;
}

void apply_vm_list(membership& state, const std::vector<listed_vm>& vms, core::time_point now)
{
    note_time(state, now);
    for (auto& [vm, peer] : state.peers)
    {
        peer.listed = false;
    }
    for (const listed_vm& entry : vms)
    {
        if (entry.vm == state.options.self.vm)
        {
            continue;
        }
        const bool is_new = !state.peers.contains(entry.vm);
        peer_entry* peer = find_or_add(state, {.vm = entry.vm});
        if (peer == nullptr)
        {
            continue;
        }
        peer->listed = true;
        peer->leaving = peer->leaving || entry.leaving;
        if (is_new)
        {
            peer->id.vm = entry.vm;
            peer->greet = true;
            peer->last_sign = now;
        }
    }
}

void note_service_contact(membership& state, core::time_point now)
{
    note_time(state, now);
    // An answer that waited in a socket during a pause was given before it.
    if (now >= state.settled_at)
    {
        raise(state.service_contact, now);
    }
}

void note_heard(membership& state, const core::process_id& from, core::time_point now)
{
    note_time(state, now);
    peer_entry* peer = is_self(state, from) ? nullptr : find_or_add(state, from);
    if (peer == nullptr)
    {
        return;
    }
    note_identity(state, *peer, from);
    peer->last_sign = std::max(peer->last_sign, now);
    if (now >= state.settled_at)
    {
        peer->heard_directly = now;
        note_hash(state, hash_of(from), now);
    }
}

std::vector<outgoing> handle(membership& state, const core::process_id& from,
                             const heartbeat& message, core::time_point now)
{
    note_heard(state, from, now);
    const auto found = state.peers.find(from.vm);
    if (found == state.peers.end())
    {
        return {};
    }
    found->second.leaving = message.leaving;
    found->second.config_version = message.config_version;
    if (now >= state.settled_at)
    {
        if (message.service_age >= core::duration::zero() && message.service_age < never_heard)
        {
            raise(state.service_contact, now - message.service_age);
        }
        take_entries(state, message, now);
    }
    if (!message.wants_reply && message.config_version >= state.status.config_version)
    {
        return {};
    }
    heartbeat reply = make_heartbeat(state, now);
    reply.wants_reply = false; // Two booting processes would answer each other without end.
    return {{from.vm, std::move(reply)}};
}

std::vector<outgoing> tick(membership& state, const own_status& status, core::time_point now,
                           core::random_generator& random)
{
    note_time(state, now);
    const bool news =
        status.config_version > state.announced_version || status.leaving != state.status.leaving;
    state.status = status;
    std::set<std::string> targets; // One heartbeat tells a peer everything.
    for (auto& [vm, peer] : state.peers)
    {
        if (peer.greet)
        {
            peer.greet = false;
            targets.insert(vm);
        }
    }
    const auto add_targets = [&](std::size_t count)
    {
        for (std::string& vm : choose_targets(state, count, now, random))
        {
            targets.insert(std::move(vm));
        }
    };
    if (news)
    {
        state.announced_version = status.config_version;
        state.sent_ahead += state.options.heartbeat_fanout;
        add_targets(state.options.heartbeat_fanout);
    }
    if (now >= state.next_heartbeat)
    {
        // Jitter of a tenth keeps the processes from sending in step.
        state.next_heartbeat =
            now + core::from_seconds(core::to_seconds(state.options.heartbeat_interval) *
                                     (0.9 + 0.2 * core::uniform(random)));
        const std::uint32_t due = heartbeat_count(state.options);
        const std::uint32_t already_sent = std::min(due, state.sent_ahead);
        state.sent_ahead = 0;
        add_targets(due - already_sent);
        drop_old_entries(state, now);
    }
    const bool asks = now >= state.next_question && lacks_evidence(state, now);
    if (asks)
    {
        state.next_question = now + state.options.question_interval;
        add_targets(heartbeat_count(state.options));
    }
    std::vector<outgoing> out;
    for (const std::string& vm : targets)
    {
        heartbeat message = make_heartbeat(state, now);
        message.wants_reply = message.wants_reply || asks;
        out.push_back({vm, std::move(message)});
    }
    return out;
}

std::vector<std::string> alive(const membership& state, core::time_point now)
{
    std::vector<std::string> out;
    for (const auto& [vm, peer] : state.peers)
    {
        if (state_at(state.options, peer, now) == peer_state::alive)
        {
            out.push_back(vm);
        }
    }
    return out;
}

std::optional<peer_state> state_of(const membership& state, const std::string& vm,
                                   core::time_point now)
{
    const auto found = state.peers.find(vm);
    if (found == state.peers.end())
    {
        return std::nullopt;
    }
    return state_at(state.options, found->second, now);
}

std::vector<std::string> known_peers(const membership& state, core::time_point now)
{
    std::vector<std::string> out;
    for (const auto& [vm, peer] : state.peers)
    {
        if (peer.listed || state_at(state.options, peer, now) != peer_state::gone)
        {
            out.push_back(vm);
        }
    }
    return out;
}

core::duration service_age(const membership& state, core::time_point now)
{
    return state.service_contact ? std::min(now - *state.service_contact, never_heard)
                                 : never_heard;
}

std::uint32_t count_heard(const membership& state, core::duration limit, core::time_point now)
{
    const auto recent =
        std::count_if(state.heard.begin(), state.heard.end(),
                      [&](const auto& entry) { return now - entry.second <= limit; });
    return 1 + static_cast<std::uint32_t>(recent);
}

bool is_isolated(const membership& state, core::time_point now)
{
    const core::duration limit = state.options.isolation_limit;
    return service_age(state, now) > limit &&
           count_heard(state, limit, now) < majority_of(state.options.max_vms);
}

std::uint32_t heartbeat_count(const membership_options& options)
{
    const std::uint32_t by_size =
        (options.max_vms + options.vms_per_heartbeat - 1) / options.vms_per_heartbeat;
    return std::max(options.heartbeat_fanout, by_size);
}

boost::json::object dump(const membership& state, core::time_point now)
{
    static constexpr const char* names[] = {"alive", "suspect", "gone"};
    boost::json::object peers;
    for (const auto& [vm, peer] : state.peers)
    {
        peers[vm] = {{"identity", core::to_string(peer.id)},
                     {"state", names[static_cast<int>(state_at(state.options, peer, now))]},
                     {"listed", peer.listed},
                     {"leaving", peer.leaving},
                     {"config_version", peer.config_version},
                     {"unheard_s", core::to_seconds(now - peer.last_sign)}};
    }
    return {{"peers", std::move(peers)},
            {"heard", count_heard(state, state.options.isolation_limit, now)},
            {"majority", majority_of(state.options.max_vms)},
            {"service_age_s", core::to_seconds(service_age(state, now))},
            {"isolated", is_isolated(state, now)}};
}

} // namespace zinniaferry::fleet
