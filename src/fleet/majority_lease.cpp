#include "fleet/majority_lease.hpp"

#include <boost/json/array.hpp>

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

// Rounds that bring no majority are repeated more and more rarely, to stay within the control
// traffic budget while no majority is reachable.
constexpr unsigned longest_ask_doubling = 2;

bool is_in_quarantine(const majority_lease& state, core::time_point now)
{
    return now < state.started + longest_lease_term;
}

std::uint32_t majority_of(const majority_lease& state)
{
    return state.max_vms / 2 + 1;
}

lease_reply vote(majority_lease& state, const core::process_id& from, const lease_request& request,
                 core::time_point now)
{
    lease_reply reply{.group = request.group, .round = request.round};
    if (request.group >= state.pool_groups)
    {
        return reply;
    }
    lease_acknowledgement& record = state.acknowledged[request.group];
    const bool taken = now < record.until && record.holder != from;
    if (taken)
    {
        reply.holder = record.holder;
    }
    if (is_in_quarantine(state, now))
    {
        // Whoever asks now is the holder or about to be; standing against it would only cost votes.
        lease_candidacy& candidacy = state.candidacies[request.group];
        candidacy.rival_until = now + longest_lease_term;
        // Without this hint a new process could not ask for loans and permits until its quarantine
        // ends, and would refuse nearly all requests although it is ready.
        candidacy.last_known = from;
        candidacy.last_known_at = now;
        return reply;
    }
    if (taken || request.max_vms != state.max_vms)
    {
        return reply;
    }
    record = {.holder = from, .until = now + longest_lease_term};
    reply.granted = true;
    reply.holder = from;
    return reply;
}

void count_votes(majority_lease& state, lease_candidacy& candidacy, core::time_point now)
{
    if (candidacy.released || candidacy.granted.size() < majority_of(state))
    {
        return;
    }
    const core::duration usable =
        core::from_seconds(core::to_seconds(state.term) * (1.0 - state.options.clock_margin));
    const core::time_point until = candidacy.asked + usable;
    if (now < until)
    {
        candidacy.held_until = std::max(candidacy.held_until, until);
        candidacy.failed_rounds = 0;
    }
}

std::string group_key(std::uint32_t group)
{
    return "lease/" + std::to_string(group);
}

std::size_t own_rank(const majority_lease& state, std::uint32_t group,
                     const std::vector<std::string>& alive)
{
    const std::string key = group_key(group);
    const std::uint64_t own = core::rendezvous_weight(key, state.self.vm);
    return static_cast<std::size_t>(std::count_if(
        alive.begin(), alive.end(),
        [&](const std::string& vm) { return core::rendezvous_weight(key, vm) > own; }));
}

std::vector<outgoing> ask(majority_lease& state, std::uint32_t group,
                          const std::vector<std::string>& alive, core::time_point now)
{
    lease_candidacy& candidacy = state.candidacies[group];
    ++candidacy.round;
    ++candidacy.failed_rounds;
    candidacy.asked = now;
    candidacy.granted.clear();
    const lease_request request{.group = group, .max_vms = state.max_vms, .round = candidacy.round};
    if (vote(state, state.self, request, now).granted)
    {
        candidacy.granted.push_back(state.self);
    }
    count_votes(state, candidacy, now);
    std::vector<outgoing> out;
    out.reserve(alive.size());
    for (const std::string& vm : alive)
    {
        out.push_back({.to_vm = vm, .body = request});
    }
    return out;
}

bool is_time_to_ask(majority_lease& state, std::uint32_t group,
                    const std::vector<std::string>& alive, core::time_point now,
                    core::random_generator& random)
{
    lease_candidacy& candidacy = state.candidacies[group];
    const unsigned doublings = std::min(candidacy.failed_rounds, longest_ask_doubling);
    const core::duration interval = state.options.ask_interval * (1U << doublings) / 2;
    if (candidacy.round > 0 && now < candidacy.asked + interval)
    {
        return false;
    }
    if (now < candidacy.held_until)
    {
        return now >= candidacy.held_until - state.term / 2;
    }
    const lease_acknowledgement& record = state.acknowledged[group];
    if (now < candidacy.rival_until || (now < record.until && record.holder != state.self))
    {
        // Other voters acknowledged that holder for about as long as this one did.
        candidacy.vacant_since = core::time_point{};
        candidacy.handed_over = false;
        return false;
    }
    if (candidacy.vacant_since == core::time_point{})
    {
        candidacy.vacant_since = now;
        const core::duration step =
            candidacy.handed_over ? state.options.handover_delay : state.options.rank_delay;
        const std::size_t rank = own_rank(state, group, alive);
        candidacy.delay =
            rank == 0 ? core::duration::zero()
                      : core::from_seconds(core::to_seconds(step) *
                                           (static_cast<double>(rank) + core::uniform(random)));
    }
    return now >= std::max(candidacy.vacant_since + candidacy.delay, candidacy.yield_until);
}

// Two candidates can each have part of the votes. The lower ranked one stops asking until its
// acknowledgements have expired, so that the other gets its majority. Without votes of others the
// holder is in place already, or has just ended and its acknowledgements expire soon.
void yield_to(majority_lease& state, std::uint32_t group, const core::process_id& holder,
              core::time_point now)
{
    lease_candidacy& candidacy = state.candidacies[group];
    const std::string key = group_key(group);
    const bool split = candidacy.granted.size() > 1;
    if (split &&
        core::rendezvous_weight(key, holder.vm) < core::rendezvous_weight(key, state.self.vm))
    {
        return;
    }
    candidacy.yield_until = now + (split ? longest_lease_term : 2 * state.options.ask_interval);
    // The round is given up, so its own vote is not counted any more and may go to the other.
    ++candidacy.round;
    candidacy.granted.clear();
    if (state.acknowledged[group].holder == state.self)
    {
        state.acknowledged[group] = {};
    }
}

void take_reply(majority_lease& state, const core::process_id& from, const lease_reply& reply,
                core::time_point now)
{
    if (reply.group >= state.candidacies.size())
    {
        return;
    }
    lease_candidacy& candidacy = state.candidacies[reply.group];
    if (!reply.holder.vm.empty())
    {
        candidacy.last_known = reply.holder;
        candidacy.last_known_at = now;
    }
    if (reply.round != candidacy.round || candidacy.round == 0)
    {
        return;
    }
    if (reply.granted)
    {
        const bool known = std::find(candidacy.granted.begin(), candidacy.granted.end(), from) !=
                           candidacy.granted.end();
        if (!known)
        {
            candidacy.granted.push_back(from);
        }
        count_votes(state, candidacy, now);
        return;
    }
    if (!reply.holder.vm.empty() && reply.holder != state.self && now >= candidacy.held_until)
    {
        yield_to(state, reply.group, reply.holder, now);
    }
}

} // namespace

majority_lease make_majority_lease(core::process_id self, majority_lease_options options,
                                   core::time_point now)
{
    return {.self = std::move(self), .options = options, .started = now};
}

void apply_configuration(majority_lease& state, const config::configuration& config,
                         core::time_point)
{
    if (state.max_vms != config.max_vms)
    {
        // Votes of the running round were given under the former majority.
        for (lease_candidacy& candidacy : state.candidacies)
        {
            candidacy.granted.clear();
            ++candidacy.round;
        }
    }
    state.max_vms = config.max_vms;
    state.pool_groups = config.pool_groups;
    state.term = std::min(config.lease_term, longest_lease_term);
    // Never made smaller: an acknowledgement counts until it expires, also when its group is
    // removed and added again.
    const std::size_t size = std::max<std::size_t>(state.acknowledged.size(), config.pool_groups);
    state.acknowledged.resize(size);
    state.candidacies.resize(size);
}

std::vector<outgoing> handle(majority_lease& state, const core::process_id& from,
                             const message_body& body, core::time_point now)
{
    if (const auto* request = std::get_if<lease_request>(&body))
    {
        return {{.to_vm = from.vm, .body = vote(state, from, *request, now)}};
    }
    if (const auto* reply = std::get_if<lease_reply>(&body))
    {
        take_reply(state, from, *reply, now);
    }
    const auto* released = std::get_if<lease_release>(&body);
    if (released != nullptr && released->group < state.acknowledged.size())
    {
        lease_acknowledgement& record = state.acknowledged[released->group];
        if (record.holder == from)
        {
            record = {};
        }
        lease_candidacy& candidacy = state.candidacies[released->group];
        if (candidacy.last_known == from)
        {
            candidacy.last_known = {};
        }
        candidacy.rival_until = {};
        candidacy.handed_over = true;
    }
    return {};
}

std::vector<outgoing> tick(majority_lease& state, const std::vector<std::string>& alive,
                           core::time_point now, core::random_generator& random)
{
    std::vector<outgoing> out;
    if (state.max_vms == 0 || is_in_quarantine(state, now))
    {
        return out;
    }
    for (std::uint32_t group = 0; group < state.pool_groups; ++group)
    {
        if (!state.candidacies[group].released && is_time_to_ask(state, group, alive, now, random))
        {
            std::vector<outgoing> requests = ask(state, group, alive, now);
            std::move(requests.begin(), requests.end(), std::back_inserter(out));
        }
    }
    return out;
}

std::optional<core::time_point> held_until(const majority_lease& state, std::uint32_t group,
                                           core::time_point now)
{
    if (group >= state.candidacies.size() || now >= state.candidacies[group].held_until)
    {
        return std::nullopt;
    }
    return state.candidacies[group].held_until;
}

core::process_id known_holder(const majority_lease& state, std::uint32_t group,
                              core::time_point now)
{
    if (group >= state.candidacies.size())
    {
        return {};
    }
    const lease_candidacy& candidacy = state.candidacies[group];
    const lease_acknowledgement& record = state.acknowledged[group];
    if (now < candidacy.held_until)
    {
        return state.self;
    }
    if (now < record.until && record.holder != state.self)
    {
        return record.holder;
    }
    const bool fresh = now < candidacy.last_known_at + longest_lease_term;
    return fresh && candidacy.last_known != state.self ? candidacy.last_known : core::process_id{};
}

std::vector<outgoing> release(majority_lease& state, std::uint32_t group,
                              const std::vector<std::string>& alive, core::time_point now)
{
    std::vector<outgoing> out;
    if (group >= state.candidacies.size() || state.candidacies[group].released)
    {
        return out;
    }
    lease_candidacy& candidacy = state.candidacies[group];
    candidacy.released = true;
    candidacy.held_until = core::time_point{};
    if (state.acknowledged[group].holder == state.self)
    {
        state.acknowledged[group] = {};
    }
    // Only voters that were asked can have a record of this process.
    if (candidacy.round > 0 && now < candidacy.asked + 2 * longest_lease_term)
    {
        for (const std::string& vm : alive)
        {
            out.push_back({.to_vm = vm, .body = lease_release{.group = group}});
        }
    }
    return out;
}

std::vector<outgoing> release_all(majority_lease& state, const std::vector<std::string>& alive,
                                  core::time_point now)
{
    std::vector<outgoing> out;
    for (std::uint32_t group = 0; group < state.candidacies.size(); ++group)
    {
        std::vector<outgoing> messages = release(state, group, alive, now);
        std::move(messages.begin(), messages.end(), std::back_inserter(out));
    }
    return out;
}

boost::json::object dump(const majority_lease& state, core::time_point now)
{
    boost::json::array groups;
    for (std::uint32_t group = 0; group < state.pool_groups; ++group)
    {
        const auto until = held_until(state, group, now);
        groups.push_back({{"group", group},
                          {"holder", core::to_string(known_holder(state, group, now))},
                          {"held_seconds", until ? core::to_seconds(*until - now) : 0.0},
                          {"released", state.candidacies[group].released}});
    }
    return {{"max_vms", state.max_vms},
            {"quarantine", is_in_quarantine(state, now)},
            {"groups", std::move(groups)}};
}

} // namespace zinniaferry::fleet
