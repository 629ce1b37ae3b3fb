#include "routing/cold_permits.hpp"

#include "core/id.hpp"

#include <algorithm>

namespace zinniaferry::routing
{

namespace
{

core::duration with_margin(const cold_permits& state, core::duration term)
{
    return core::from_seconds(core::to_seconds(term) * (1.0 + state.options.clock_margin));
}

void drop_expired(std::vector<granted_permit>& list, core::time_point now)
{
    std::erase_if(list, [now](const granted_permit& permit) { return permit.expires <= now; });
}

bool may_grant(const cold_permits& state, std::string_view server, core::time_point now)
{
    const auto found = state.groups.find(permit_group_of(state, server));
    return found != state.groups.end() && now < found->second.held_until &&
           now >= found->second.grants_from;
}

/// Grants up to what the allowance leaves; a repeated ask with the same id gets the same permit.
fleet::permit_reply grant(cold_permits& state, const core::process_id& asker,
                          const fleet::permit_request& ask, core::time_point now)
{
    fleet::permit_reply reply{.server = ask.server, .permit_id = ask.permit_id};
    const auto allowed = state.allowance.find(ask.server);
    if (allowed == state.allowance.end() || !may_grant(state, ask.server, now) ||
        ask.term <= core::duration::zero() || ask.count == 0)
    {
        return reply;
    }
    std::vector<granted_permit>& list = state.granted[ask.server];
    drop_expired(list, now);
    const bool known =
        std::any_of(list.begin(), list.end(),
                    [&](const granted_permit& permit)
                    { return permit.asker == asker && permit.permit_id == ask.permit_id; });
    reply.term = std::min(ask.term, state.options.max_term);
    if (!known)
    {
        // One permit is one request, so an ask for several gets one; it may ask again.
        if (list.size() >= allowed->second)
        {
            return reply;
        }
        list.push_back({.asker = asker,
                        .permit_id = ask.permit_id,
                        .expires = now + with_margin(state, reply.term)});
    }
    reply.granted = 1;
    return reply;
}

void release(cold_permits& state, const core::process_id& asker, std::string_view server,
             std::uint64_t permit_id)
{
    const auto found = state.granted.find(std::string(server));
    if (found == state.granted.end())
    {
        return;
    }
    std::erase_if(found->second, [&](const granted_permit& permit)
                  { return permit.asker == asker && permit.permit_id == permit_id; });
    if (found->second.empty())
    {
        state.granted.erase(found);
    }
}

std::vector<fleet::outgoing> send_return(cold_permits& state, const std::string& holder_vm,
                                         const std::string& server, std::uint64_t permit_id,
                                         bool server_warm)
{
    if (holder_vm == state.options.self.vm)
    {
        release(state, state.options.self, server, permit_id);
        return {};
    }
    return {{.to_vm = holder_vm,
             .body = fleet::permit_return{
                 .server = server, .permit_id = permit_id, .server_warm = server_warm}}};
}

void take_reply(held_permit& permit, const fleet::permit_reply& reply)
{
    permit.granted = true;
    permit.expires = permit.asked + std::min(reply.term, permit.expires - permit.asked);
}

bool is_waiting(const cold_permits& state, std::string_view server)
{
    return std::any_of(state.held.begin(), state.held.end(),
                       [&](const auto& entry)
                       { return entry.second.server == server && !entry.second.in_use; });
}

} // namespace

cold_permits make_cold_permits(cold_permit_options options)
{
    cold_permits state;
    state.options = std::move(options);
    // Replies to a former run of this VM must not match an ask of this run.
    constexpr unsigned ids_per_run_bits = 24;
    state.next_id = (state.options.self.incarnation << ids_per_run_bits) + 1;
    return state;
}

void apply_configuration(cold_permits& state, const config::configuration& config, core::time_point)
{
    const std::uint32_t groups = std::max(config.pool_groups, 1U);
    if (groups != state.pool_groups)
    {
        // The groups now hold other servers, so every lease must show itself anew.
        state.groups.clear();
    }
    state.pool_groups = groups;
    state.allowance.clear();
    for (const config::service& service : config.services)
    {
        for (const config::backend_server& listed : service.servers)
        {
            state.allowance[listed.name] = listed.leaving ? 0 : service.cold_allowance;
        }
    }
}

std::uint32_t permit_group_of(const cold_permits& state, std::string_view server)
{
    return static_cast<std::uint32_t>(core::stable_hash(server) % state.pool_groups);
}

std::vector<fleet::outgoing> request_permit(cold_permits& state, std::string_view server,
                                            std::string_view holder_vm, core::time_point deadline,
                                            core::time_point now)
{
    const std::string name(server);
    const auto again = state.ask_again.find(name);
    const bool too_soon = again != state.ask_again.end() && now < again->second;
    if (holder_vm.empty() || deadline <= now || too_soon || is_waiting(state, server))
    {
        return {};
    }
    const core::duration term = std::min(deadline - now, state.options.max_term);
    const std::uint64_t id = state.next_id++;
    state.held.emplace(id, held_permit{.server = name,
                                       .holder_vm = std::string(holder_vm),
                                       .asked = now,
                                       .expires = now + term});
    const fleet::permit_request ask{.server = name, .permit_id = id, .count = 1, .term = term};
    if (holder_vm == state.options.self.vm)
    {
        const fleet::permit_reply reply = grant(state, state.options.self, ask, now);
        handle(state, state.options.self, reply, now);
        return {};
    }
    return {{.to_vm = std::string(holder_vm), .body = ask}};
}

std::optional<permit_use> use_permit(cold_permits& state, std::string_view server,
                                     core::time_point now)
{
    for (auto& [id, permit] : state.held)
    {
        if (permit.server == server && permit.granted && !permit.in_use && now < permit.expires)
        {
            permit.in_use = true;
            return permit_use{.permit_id = id, .expires = permit.expires};
        }
    }
    return std::nullopt;
}

std::vector<fleet::outgoing> return_permit(cold_permits& state, std::uint64_t permit_id,
                                           permit_end how, bool server_warm, core::time_point)
{
    const auto found = state.held.find(permit_id);
    if (found == state.held.end())
    {
        return {};
    }
    if (how == permit_end::unknown)
    {
        // The entry stays until its term ends, so that a repeated reply cannot free the permit.
        return {};
    }
    const held_permit permit = found->second;
    state.held.erase(found);
    return send_return(state, permit.holder_vm, permit.server, permit_id, server_warm);
}

void set_held_until(cold_permits& state, std::uint32_t group, core::time_point held_until,
                    core::time_point now)
{
    if (held_until <= now)
    {
        state.groups.erase(group);
        return;
    }
    const auto [found, added] = state.groups.try_emplace(group);
    permit_group& entry = found->second;
    if (added || now >= entry.held_until)
    {
        // Permits of a former holder may still be in use.
        entry.grants_from = now + with_margin(state, state.options.max_term);
    }
    entry.held_until = held_until;
}

std::vector<fleet::outgoing> handle(cold_permits& state, const core::process_id& from,
                                    const fleet::permit_request& message, core::time_point now)
{
    return {{.to_vm = from.vm, .body = grant(state, from, message, now)}};
}

std::vector<fleet::outgoing> handle(cold_permits& state, const core::process_id& from,
                                    const fleet::permit_reply& message, core::time_point now)
{
    const auto found = state.held.find(message.permit_id);
    const bool expected = found != state.held.end() && !found->second.granted &&
                          found->second.server == message.server &&
                          found->second.holder_vm == from.vm;
    if (!expected)
    {
        // The reply to an ask that was given up. A repeated reply for a permit that is still kept
        // must not give that permit back.
        const bool give_back = found == state.held.end() && message.granted > 0;
        return give_back ? send_return(state, from.vm, message.server, message.permit_id, false)
                         : std::vector<fleet::outgoing>();
    }
    if (message.granted == 0)
    {
        state.ask_again[message.server] = now + state.options.retry_delay;
        state.held.erase(found);
        return {};
    }
    take_reply(found->second, message);
    if (now >= found->second.expires)
    {
        state.held.erase(found);
        return send_return(state, from.vm, message.server, message.permit_id, false);
    }
    return {};
}

std::vector<fleet::outgoing> handle(cold_permits& state, const core::process_id& from,
                                    const fleet::permit_return& message, core::time_point)
{
    release(state, from, message.server, message.permit_id);
    return {};
}

std::vector<fleet::outgoing> tick(cold_permits& state, core::time_point now)
{
    std::vector<fleet::outgoing> out;
    for (auto at = state.held.begin(); at != state.held.end();)
    {
        const held_permit& permit = at->second;
        const bool idle = !permit.in_use && now - permit.asked >= state.options.reply_limit;
        if (!idle && now < permit.expires)
        {
            ++at;
            continue;
        }
        if (!permit.in_use)
        {
            for (fleet::outgoing& message :
                 send_return(state, permit.holder_vm, permit.server, at->first, false))
            {
                out.push_back(std::move(message));
            }
        }
        at = state.held.erase(at);
    }
    std::erase_if(state.ask_again, [now](const auto& entry) { return entry.second <= now; });
    for (auto& [server, list] : state.granted)
    {
        drop_expired(list, now);
    }
    std::erase_if(state.granted, [](const auto& entry) { return entry.second.empty(); });
    return out;
}

std::uint32_t granted_count(const cold_permits& state, std::string_view server,
                            core::time_point now)
{
    const auto found = state.granted.find(std::string(server));
    return found == state.granted.end()
               ? 0
               : static_cast<std::uint32_t>(std::count_if(
                     found->second.begin(), found->second.end(),
                     [now](const granted_permit& permit) { return permit.expires > now; }));
}

boost::json::object dump(const cold_permits& state, core::time_point now)
{
    boost::json::array held;
    for (const auto& [id, permit] : state.held)
    {
        held.push_back({{"server", permit.server},
                        {"holder", permit.holder_vm},
                        {"granted", permit.granted},
                        {"in_use", permit.in_use},
                        {"ends_in_ms", core::to_seconds(permit.expires - now) * 1e3}});
    }
    boost::json::object granted;
    for (const auto& [server, list] : state.granted)
    {
        granted[server] = granted_count(state, server, now);
    }
    boost::json::array groups;
    for (const auto& [group, lease] : state.groups)
    {
        groups.push_back({{"group", group},
                          {"held", now < lease.held_until},
                          {"grants", now < lease.held_until && now >= lease.grants_from}});
    }
    return {
        {"held", std::move(held)}, {"granted", std::move(granted)}, {"groups", std::move(groups)}};
}

} // namespace zinniaferry::routing
