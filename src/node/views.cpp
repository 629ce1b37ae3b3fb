#include "node/decider.hpp"

namespace zinniaferry::node
{

namespace
{

namespace json = boost::json;

json::object refusals_by_error(const decider& state)
{
    json::object out;
    for (std::size_t i = 0; i < state.counters.refused.size(); ++i)
    {
        if (state.counters.refused[i] > 0)
        {
            out[to_string(static_cast<request_error>(i))] = state.counters.refused[i];
        }
    }
    return out;
}

json::object request_counters(const decider& state)
{
    return {{"in_progress", state.requests.size()},
            {"total", state.counters.requests},
            {"answered", state.counters.answered},
            {"retries", state.counters.retries},
            {"unknown_outcomes", state.counters.unknown_outcomes},
            {"refused", refusals_by_error(state)}};
}

json::object queue_view(const decider& state, core::time_point now)
{
    json::object out;
    for (std::size_t i = 0; i < state.queues.size(); ++i)
    {
        out[state.servers.services[i].name] = routing::dump(state.queues[i], now);
    }
    return out;
}

} // namespace

json::array account_view(const decider& state, core::time_point)
{
    json::array out;
    if (!state.configuration)
    {
        return out;
    }
    for (const config::account& account : state.configuration->accounts)
    {
        const auto found = state.accounts.find(account.name);
        const account_counters counters =
            found == state.accounts.end() ? account_counters() : found->second;
        out.push_back({{"account", account.name},
                       {"rate_per_second", account.rate},
                       {"burst", account.burst},
                       {"requests", counters.requests},
                       {"admitted", counters.admitted},
                       {"refused_over_limit", counters.over_limit},
                       {"refused_other", counters.other}});
    }
    return out;
}

json::array server_view(const decider& state, core::time_point now)
{
    json::array out;
    for (const routing::server& server : state.servers.servers)
    {
        if (!server.configured)
        {
            continue;
        }
        out.push_back(
            {{"server", server.name},
             {"service", state.servers.services[server.service].name},
             {"data_centre", server.data_centre},
             {"data_centre_weight", routing::weight_of(state.weights, server.data_centre, now)},
             {"address", server.address},
             {"state", routing::to_string(server.state)},
             {"leaving", server.leaving},
             {"needs_permit", routing::needs_permit(state.servers, server, now)},
             {"in_flight", server.in_flight},
             {"connections", server.connections},
             {"latency_ms", core::to_seconds(server.latency) * 1e3},
             {"error_rate", server.error_rate}});
    }
    return out;
}

json::object fleet_view(const decider& state, core::time_point now)
{
    return {{"self", core::to_string(state.options.self)},
            {"data_centre", state.options.data_centre},
            {"isolated", fleet::is_isolated(state.membership, now)},
            {"leaving", state.leaving},
            {"configuration_version", state.applied_version},
            {"vms_seen", fleet::alive(state.membership, now).size() + 1},
            {"requests", state.counters.requests},
            {"refused", state.counters.requests - state.counters.answered - state.requests.size()},
            {"membership", fleet::dump(state.membership, now)}};
}

json::object configuration_view(const decider& state, core::time_point now)
{
    return fleet::dump(state.spread, now);
}

json::object dump(const decider& state, core::time_point now)
{
    return {{"vm", state.options.self.vm},
            {"incarnation", core::to_string(state.options.self)},
            {"data_centre", state.options.data_centre},
            {"ready", is_ready(state, now)},
            {"leaving", state.leaving},
            {"configuration_version", state.applied_version},
            {"requests", request_counters(state)},
            {"messages_in", state.counters.messages_in},
            {"messages_out", state.counters.messages_out},
            {"pauses", state.counters.pauses},
            {"accounts", account_view(state, now)},
            {"servers", server_view(state, now)},
            {"queues", queue_view(state, now)},
            {"data_centres", routing::dump(state.weights, now)},
            {"membership", fleet::dump(state.membership, now)},
            {"configuration", fleet::dump(state.spread, now)},
            {"leases", fleet::dump(state.lease, now)},
            {"claims", fleet::dump(state.claims, now)},
            {"limits", limits::dump(state.limiter, now)},
            {"permits", routing::dump(state.permits, now)},
            {"probes", routing::dump(state.probes, now)}};
}

} // namespace zinniaferry::node
