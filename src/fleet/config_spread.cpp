#include "fleet/config_spread.hpp"

#include "fleet/config_store.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

constexpr std::size_t max_peer_versions = 1024;
constexpr core::duration peer_version_memory = std::chrono::seconds(60);

bool is_refused(const config_spread& state, const peer_version& offered, core::time_point now)
{
    return std::any_of(state.refusals.begin(), state.refusals.end(),
                       [&](const config_refusal& refusal)
                       {
                           return refusal.version == offered.version &&
                                  refusal.digest == offered.digest &&
                                  refusal.reason != refusal_reason::wrong_digest &&
                                  refusal.reason != refusal_reason::no_base &&
                                  now - refusal.at < state.options.refusal_memory;
                       });
}

// Returns the peers with the highest version above the own one that was not refused.
std::vector<std::string> pull_candidates(const config_spread& state, core::time_point now)
{
    std::vector<std::string> best;
    std::uint64_t highest = version_in_force(state);
    const bool only_failed = std::none_of(state.peers.begin(), state.peers.end(),
                                          [&](const auto& entry) {
                                              return entry.first != state.failed_peer &&
                                                     entry.second.version > version_in_force(state);
                                          });
    for (const auto& [vm, offered] : state.peers)
    {
        if (offered.version <= version_in_force(state) || offered.version < highest ||
            (vm == state.failed_peer && !only_failed) || is_refused(state, offered, now))
        {
            continue;
        }
        if (offered.version > highest)
        {
            highest = offered.version;
            best.clear();
        }
        best.push_back(vm);
    }
    return best;
}

void start_boot_window(config_spread& state, core::time_point now)
{
    if (!state.ready)
    {
        state.boot_reference = now;
        state.boot_reference_known = true;
    }
}

// A service that answers with what cannot be accepted answers each watch at once, so the calls
// are spread out with a growing pause.
void pause_after_refusal(config_spread& state, core::time_point now)
{
    const std::uint32_t doublings = std::min(state.stale_answers, 8U);
    ++state.stale_answers;
    state.next_call =
        now + std::min(state.options.stale_interval, state.call_pause * (1L << doublings));
}

void note_service_answer(config_spread& state, core::time_point now)
{
    state.call_open = false;
    if (!state.service_answered)
    {
        state.service_answered = true;
        start_boot_window(state, now);
    }
}

} // namespace

config_spread make_config_spread(config_spread_options options, core::time_point now)
{
    config_spread state;
    state.options = std::move(options);
    state.next_call = now;
    state.next_poll = now;
    return state;
}

void apply_boot_list(config_spread& state, const std::vector<std::string>& vms,
                     core::time_point now)
{
    if (state.list_known)
    {
        return;
    }
    state.list_known = true;
    for (const std::string& vm : vms)
    {
        if (vm != state.options.self.vm && !state.peers.contains(vm))
        {
            state.awaited.insert(vm);
        }
    }
    start_boot_window(state, now);
}

offer_result offer(config_spread& state, std::string_view document, config_source source,
                   core::time_point now)
{
    return accept_document(state, document,
                           {source == config_source::service ? "service" : "peer", {}, {}}, now);
}

const config_version* in_force(const config_spread& state)
{
    return state.current ? &*state.current : nullptr;
}

bool is_ready(const config_spread& state, core::time_point now)
{
    if (state.ready)
    {
        return true;
    }
    if (!state.current || state.current->version < state.highest_heard ||
        !state.boot_reference_known)
    {
        return false;
    }
    const bool all_answered = state.list_known && state.service_answered && state.awaited.empty();
    return all_answered || now - state.boot_reference >= state.options.boot_window;
}

bool is_behind(const config_spread& state, core::time_point now)
{
    return state.behind_since && now - *state.behind_since > state.options.behind_limit;
}

bool wants_watch(const config_spread& state, const std::vector<std::string>& alive_vms)
{
    static constexpr std::string_view ranking = "configuration watch";
    const std::uint64_t own = core::rendezvous_weight(ranking, state.options.self.vm);
    const auto above = std::count_if(alive_vms.begin(), alive_vms.end(),
                                     [&](const std::string& vm)
                                     { return core::rendezvous_weight(ranking, vm) > own; });
    return static_cast<std::size_t>(above) < state.options.watchers;
}

std::optional<service_call> next_service_call(config_spread& state,
                                              const std::vector<std::string>& alive_vms,
                                              core::duration service_age, core::time_point now,
                                              core::random_generator& random)
{
    if (state.call_open && now - state.call_sent > state.options.call_timeout)
    {
        service_failed(state, now);
    }
    if (state.call_open || now < state.next_call)
    {
        return std::nullopt;
    }
    const bool eager = !state.current || service_age > state.options.contact_limit;
    const bool watch = state.current && wants_watch(state, alive_vms);
    if (!watch && !eager && now < state.next_poll)
    {
        return std::nullopt;
    }
    const auto jittered = [&](core::duration base)
    {
        return core::from_seconds(core::to_seconds(base) * (0.75 + 0.5 * core::uniform(random)));
    };
    state.call_open = true;
    state.call_watches = watch;
    state.call_sent = now;
    state.call_pause = jittered(state.options.eager_interval);
    state.next_poll = now + jittered(state.options.poll_interval);
    state.next_call = watch ? now : now + state.call_pause;
    ++state.counters.service_calls;
    return service_call{.kind = watch ? service_call_kind::watch : service_call_kind::poll,
                        .after_version = version_in_force(state),
                        .wait = watch ? state.options.watch_wait : core::duration::zero()};
}

offer_result service_replied(config_spread& state, std::string_view document, core::time_point now)
{
    note_service_answer(state, now);
    const offer_result result = offer(state, document, config_source::service, now);
    if (result.outcome == offer_outcome::refused)
    {
        pause_after_refusal(state, now);
    }
    else
    {
        state.stale_answers = 0;
    }
    return result;
}

void service_unchanged(config_spread& state, core::time_point now)
{
    note_service_answer(state, now);
    state.stale_answers = 0;
}

void service_failed(config_spread& state, core::time_point now)
{
    state.call_open = false;
    ++state.counters.service_failures;
    state.next_call = std::max(state.next_call, now + state.call_pause);
}

std::vector<outgoing> handle(config_spread& state, const core::process_id& from,
                             const heartbeat& message, core::time_point now)
{
    if (from.vm == state.options.self.vm ||
        (!state.peers.contains(from.vm) && state.peers.size() >= max_peer_versions))
    {
        return {};
    }
    const peer_version offered{message.config_version, message.config_digest, now};
    state.peers[from.vm] = offered;
    state.awaited.erase(from.vm);
    if (!state.peer_answered)
    {
        state.peer_answered = true;
        start_boot_window(state, now);
    }
    state.highest_heard = std::max(state.highest_heard, message.config_version);
    if (state.current && message.config_version == state.current->version &&
        message.config_digest != state.current->digest && !is_refused(state, offered, now))
    {
        refuse(state, {.version = message.config_version,
                       .digest = message.config_digest,
                       .reason = refusal_reason::conflict,
                       .from = from.vm,
                       .at = now});
    }
    return {};
}

std::vector<outgoing> handle(config_spread& state, const core::process_id& from,
                             const config_request& message, core::time_point)
{
    if (!state.current || state.current->version <= message.have_version)
    {
        return {};
    }
    config_reply reply{.version = state.current->version, .digest = state.current->digest};
    const std::string& delta = delta_from(state, message.have_version);
    if (message.have_version != 0 && !delta.empty())
    {
        reply.base_version = message.have_version;
        reply.body = delta;
        ++state.counters.deltas_sent;
    }
    else
    {
        reply.body = state.current->text;
        ++state.counters.whole_sent;
    }
    state.counters.bytes_sent += reply.body.size();
    return {{from.vm, std::move(reply)}};
}

std::vector<outgoing> handle(config_spread& state, const core::process_id& from,
                             const config_reply& message, core::time_point now)
{
    state.counters.bytes_received += message.body.size();
    if (state.pull && state.pull->vm == from.vm)
    {
        state.pull.reset();
    }
    if (message.version <= version_in_force(state))
    {
        return {}; // A late or repeated answer; nothing is wrong with it.
    }
    const offer_result result = accept_reply(state, from.vm, message, now);
    if (result.outcome == offer_outcome::accepted)
    {
        state.failed_peer.clear();
    }
    else
    {
        state.failed_peer = from.vm;
        state.pull_whole = state.pull_whole || message.base_version != 0;
    }
    return {};
}

std::vector<outgoing> tick(config_spread& state, core::time_point now,
                           core::random_generator& random)
{
    state.ready = is_ready(state, now);
    if (state.pull && now - state.pull->sent > state.options.pull_timeout)
    {
        state.failed_peer = state.pull->vm;
        state.pull.reset();
    }
    std::erase_if(state.peers, [&](const auto& entry)
                  { return now - entry.second.heard > peer_version_memory; });
    const std::vector<std::string> candidates = pull_candidates(state, now);
    if (candidates.empty())
    {
        state.behind_since.reset();
    }
    else if (!state.behind_since)
    {
        state.behind_since = now;
    }
    if (state.pull || candidates.empty())
    {
        return {};
    }
    const std::string& vm = candidates[core::uniform_index(random, candidates.size())];
    state.pull = config_pull{vm, state.peers[vm].version, now};
    ++state.counters.requests_sent;
    return {{vm, config_request{state.pull_whole ? 0 : version_in_force(state)}}};
}

boost::json::object dump(const config_spread& state, core::time_point now)
{
    boost::json::array refusals;
    for (const config_refusal& refusal : state.refusals)
    {
        refusals.push_back({{"version", refusal.version},
                            {"digest", core::to_hex(refusal.digest)},
                            {"reason", to_string(refusal.reason)},
                            {"from", refusal.from},
                            {"detail", refusal.detail},
                            {"age_s", core::to_seconds(now - refusal.at)}});
    }
    const config_counters& counters = state.counters;
    return {{"version", version_in_force(state)},
            {"digest", state.current ? core::to_hex(state.current->digest) : ""},
            {"ready", is_ready(state, now)},
            {"highest_heard", state.highest_heard},
            {"history", state.history.size()},
            {"refusals", std::move(refusals)},
            {"service_calls", counters.service_calls},
            {"service_failures", counters.service_failures},
            {"requests_sent", counters.requests_sent},
            {"deltas_sent", counters.deltas_sent},
            {"whole_sent", counters.whole_sent},
            {"bytes_sent", counters.bytes_sent},
            {"bytes_received", counters.bytes_received}};
}

} // namespace zinniaferry::fleet
