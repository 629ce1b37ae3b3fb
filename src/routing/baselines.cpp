#include "routing/baselines.hpp"

#include <array>

namespace zinniaferry::routing
{

namespace
{

bool is_open(const server_table& table, const data_centre_weights& weights, const server& entry,
             core::time_point now)
{
    return accepts_work(entry) && !needs_permit(table, entry, now) &&
           entry.in_flight < entry.connection_limit &&
           weight_of(weights, entry.data_centre, now) > 0.0;
}

std::vector<server_index> collect(const server_table& table, const data_centre_weights& weights,
                                  service_index service, core::time_point now)
{
    std::vector<server_index> healthy;
    std::vector<server_index> suspect;
    for (const server_index index : table.services[service].servers)
    {
        const server& entry = table.servers[index];
        if (is_open(table, weights, entry, now))
        {
            (entry.state == server_state::suspect ? suspect : healthy).push_back(index);
        }
    }
    return healthy.empty() ? suspect : healthy;
}

server_index least_loaded(const server_table& table, const std::vector<server_index>& list,
                          core::random_generator& random)
{
    server_index best = list.front();
    std::size_t ties = 0;
    for (const server_index index : list)
    {
        const std::uint32_t load = table.servers[index].in_flight;
        const std::uint32_t lowest = table.servers[best].in_flight;
        if (load < lowest)
        {
            best = index;
            ties = 1;
        }
        else if (load == lowest && core::uniform_index(random, ++ties) == 0)
        {
            best = index;
        }
    }
    return best;
}

server_index better_of_two(const server_table& table, const std::vector<server_index>& list,
                           core::random_generator& random)
{
    const std::size_t first = core::uniform_index(random, list.size());
    std::size_t second = first;
    if (list.size() > 1)
    {
        second = core::uniform_index(random, list.size() - 1);
        second += second >= first ? 1 : 0;
    }
    const bool keep_first =
        table.servers[list[first]].in_flight <= table.servers[list[second]].in_flight;
    return keep_first ? list[first] : list[second];
}

} // namespace

const char* to_string(baseline kind)
{
    constexpr std::array names = {"random", "round_robin", "least_in_flight", "two_choices"};
    return names.at(static_cast<std::size_t>(kind));
}

std::optional<server_index> select_baseline(baseline kind, baseline_state& state,
                                            const server_table& table,
                                            const data_centre_weights& weights,
                                            service_index service, core::time_point now,
                                            core::random_generator& random)
{
    const std::vector<server_index> list = collect(table, weights, service, now);
    if (list.empty())
    {
        return std::nullopt;
    }
    switch (kind)
    {
    case baseline::random:
        return list[core::uniform_index(random, list.size())];
    case baseline::round_robin:
        state.next.resize(table.services.size(), 0);
        return list[state.next[service]++ % list.size()];
    case baseline::least_in_flight:
        return least_loaded(table, list, random);
    case baseline::two_choices:
        return better_of_two(table, list, random);
    }
    return std::nullopt;
}

} // namespace zinniaferry::routing
