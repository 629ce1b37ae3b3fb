#include "history/knowledge.hpp"

#include <algorithm>

namespace zinniaferry::history
{

namespace
{

bool is_linked(const simulation& sim, std::size_t a, std::size_t b)
{
    const auto awake = [&](const process& at)
    {
        return at.running && at.paused_until <= sim.queue.now;
    };
    return awake(sim.processes[a]) && awake(sim.processes[b]) &&
           (a == b || (sim.cut[a][b] == 0 && sim.cut[b][a] == 0));
}

bool reaches_service(const simulation& sim, std::size_t slot)
{
    return sim.service_cut[slot] == 0 && sim.mode != service_mode::down;
}

} // namespace

std::uint64_t version_of(const process& at)
{
    return at.node ? node::config_version(*at.node) : 0;
}

std::uint64_t majority_version(const simulation& sim, std::size_t slot)
{
    std::vector<std::uint64_t> versions;
    for (std::size_t other = 0; other < sim.processes.size(); ++other)
    {
        if (other != slot && is_linked(sim, slot, other))
        {
            versions.push_back(version_of(sim.processes[other]));
        }
    }
    const std::size_t majority = fleet::majority_of(sim.versions.back().configuration.max_vms);
    if (versions.size() < majority)
    {
        return 0;
    }
    std::sort(versions.rbegin(), versions.rend());
    return versions[majority - 1];
}

void update_knowledge(const simulation& sim, std::size_t slot, knowledge& known)
{
    std::uint64_t best = reaches_service(sim, slot) ? served_version(sim) : 0;
    std::uint64_t around = 0;
    std::size_t linked = 0;
    for (std::size_t other = 0; other < sim.processes.size(); ++other)
    {
        if (is_linked(sim, slot, other))
        {
            ++linked;
            around = std::max({around, version_of(sim.processes[other]),
                               reaches_service(sim, other) ? served_version(sim) : 0});
        }
    }
    known.in_majority = linked >= fleet::majority_of(sim.versions.back().configuration.max_vms);
    best = std::max(best, known.in_majority ? around : 0);
    const bool awake = linked > 0;
    known.since.resize(sim.versions.size(), core::time_point::max());
    for (std::size_t i = 0; i < known.since.size(); ++i)
    {
        known.since[i] =
            awake && best > i ? std::min(known.since[i], sim.queue.now) : core::time_point::max();
    }
    if (known.in_majority && best < sim.versions.size())
    {
        known.cut_from_service = sim.queue.now;
    }
}

bool could_know(const simulation& sim, const knowledge& known, std::uint64_t version,
                core::duration limit)
{
    return known.since.size() >= version && known.since[version - 1] != core::time_point::max() &&
           known.since[version - 1] + limit < sim.queue.now;
}

} // namespace zinniaferry::history
