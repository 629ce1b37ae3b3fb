#include "routing/probe_budget.hpp"

#include <algorithm>

namespace zinniaferry::routing
{

namespace
{

void advance(const probe_budget& budget, server_probe_budget& entry, core::time_point now)
{
    if (now <= entry.last)
    {
        return;
    }
    const core::duration earned =
        core::from_seconds(core::to_seconds(now - entry.last) * entry.share);
    entry.last = now;
    entry.earned += earned;
    entry.saved = std::min(entry.saved + earned, 2 * budget.options.probe_timeout);
}

} // namespace

probe_budget make_probe_budget(probe_budget_options options)
{
    probe_budget budget;
    budget.options = options;
    return budget;
}

void apply_configuration(probe_budget& budget, const config::configuration& config,
                         core::time_point now)
{
    std::unordered_map<std::string, server_probe_budget> next;
    for (const config::service& service : config.services)
    {
        for (const config::backend_server& listed : service.servers)
        {
            const auto known = budget.servers.find(listed.name);
            server_probe_budget entry;
            entry.last = now;
            if (known != budget.servers.end())
            {
                entry = known->second;
                advance(budget, entry, now);
            }
            entry.share = budget.options.fraction * service.slots / std::max(config.max_vms, 1U);
            next.emplace(listed.name, entry);
        }
    }
    for (const auto& [name, entry] : budget.servers)
    {
        if (!next.contains(name))
        {
            budget.former.earned += entry.earned;
            budget.former.spent += entry.spent;
            budget.former.probes += entry.probes;
        }
    }
    budget.servers = std::move(next);
}

bool try_start_probe(probe_budget& budget, std::string_view server, core::time_point now)
{
    const auto found = budget.servers.find(std::string(server));
    if (found == budget.servers.end())
    {
        return false;
    }
    server_probe_budget& entry = found->second;
    advance(budget, entry, now);
    if (entry.saved < budget.options.probe_timeout)
    {
        return false;
    }
    entry.saved -= budget.options.probe_timeout;
    entry.spent += budget.options.probe_timeout;
    ++entry.probes;
    return true;
}

void on_probe_finished(probe_budget& budget, std::string_view server, core::duration took,
                       core::time_point now)
{
    const auto found = budget.servers.find(std::string(server));
    if (found == budget.servers.end())
    {
        return;
    }
    server_probe_budget& entry = found->second;
    const core::duration charged = std::max(took, budget.options.probe_cost);
    entry.saved += budget.options.probe_timeout - charged;
    entry.spent += charged - budget.options.probe_timeout;
    advance(budget, entry, now);
}

probe_totals totals(const probe_budget& budget, core::time_point now)
{
    probe_totals out = budget.former;
    for (const auto& [name, entry] : budget.servers)
    {
        server_probe_budget copy = entry;
        advance(budget, copy, now);
        out.earned += copy.earned;
        out.spent += copy.spent;
        out.probes += copy.probes;
    }
    return out;
}

boost::json::object dump(const probe_budget& budget, core::time_point now)
{
    const probe_totals sum = totals(budget, now);
    return {{"earned_ms", core::to_seconds(sum.earned) * 1e3},
            {"spent_ms", core::to_seconds(sum.spent) * 1e3},
            {"probes", sum.probes}};
}

} // namespace zinniaferry::routing
