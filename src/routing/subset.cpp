#include "routing/subset.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <map>

namespace zinniaferry::routing
{

namespace
{

/// Daemons that send to a server first, on average. With fewer, the differences between the
/// daemons' own request rates show in the load of the servers.
constexpr double min_daemons_per_server = 20.0;
/// Servers of a service that a daemon uses in each data centre that has as many: enough to go round
/// a few that are full, slow or leaving.
constexpr std::size_t min_servers_per_data_centre = 4;
/// Each server of the subset gets a request or a probe this often, well within the usual keep-alive
/// timeouts of a few seconds.
constexpr core::duration max_mean_idle_time = std::chrono::milliseconds(2500);
/// Servers that a selection in calm times probes.
constexpr double servers_per_selection = 2.0;

struct ring_entry
{
    std::uint64_t hash = 0;
    backend_pointer server;
};

using ring = std::vector<ring_entry>;

void sort_ring(ring& entries)
{
    std::sort(entries.begin(), entries.end(),
              [](const ring_entry& a, const ring_entry& b) {
                  return a.hash != b.hash ? a.hash < b.hash
                                          : a.server->listed.id < b.server->listed.id;
              });
}

double slots_of(const ring_entry& entry)
{
    return std::max(1U, entry.server->listed.slots);
}

// Marks the servers of the arc. Each server has the part of the ring that it has of the slots, and
// belongs to the arcs that contain the beginning of its part.
void mark_arc(const ring& entries, double position, double fraction)
{
    double total = 0.0;
    for (const ring_entry& entry : entries)
    {
        total += slots_of(entry);
    }
    std::size_t first = 0;
    double begin = 0.0;
    while (first < entries.size() && begin / total < position)
    {
        begin += slots_of(entries[first]);
        ++first;
    }
    double distance = begin / total - position;
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        const ring_entry& entry = entries[(first + i) % entries.size()];
        entry.server->in_subset = distance < fraction || i < min_servers_per_data_centre;
        distance += slots_of(entry) / total;
    }
}

} // namespace

double subset_fraction(const subset_demand& demand)
{
    const auto members = static_cast<double>(std::max<std::size_t>(demand.members, 1));
    const auto servers = static_cast<double>(std::max<std::size_t>(demand.servers, 1));
    const double in_use =
        demand.own_rate * servers_per_selection * core::to_seconds(max_mean_idle_time);
    return std::min(1.0, std::max(min_daemons_per_server / members, in_use / servers));
}

double subset_position(std::span<const std::string> members, const std::string& own_name)
{
    const std::uint64_t own_hash = core::stable_hash(own_name);
    std::size_t lower = 0;
    std::size_t others = 0;
    for (const std::string& member : members)
    {
        const std::uint64_t hash = core::stable_hash(member);
        others += member != own_name ? 1 : 0;
        lower += hash < own_hash || (hash == own_hash && member < own_name) ? 1 : 0;
    }
    return static_cast<double>(lower) / static_cast<double>(others + 1);
}

void update_subset(backend_set& set, double fraction)
{
    const double position = subset_position(set.members, set.options.own_name);
    for (const auto& [service, servers] : set.by_service)
    {
        std::map<std::string, ring> by_data_centre;
        for (const backend_pointer& server : servers)
        {
            by_data_centre[server->listed.data_centre].push_back(
                {core::stable_hash(server->listed.id), server});
        }
        for (auto& [data_centre, entries] : by_data_centre)
        {
            sort_ring(entries);
            mark_arc(entries, position, fraction);
        }
    }
}

std::size_t subset_size(const backend_set& set)
{
    return static_cast<std::size_t>(std::count_if(set.by_id.begin(), set.by_id.end(),
                                                  [](const auto& entry)
                                                  { return entry.second->in_subset; }));
}

} // namespace zinniaferry::routing
