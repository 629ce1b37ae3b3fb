#include "limits/connection_budget.hpp"

#include <tuple>

namespace zinniaferry::limits
{

std::size_t max_caller_connections(std::size_t max_sockets)
{
    // Each request of a caller needs a connection to a server.
    return max_sockets == 0 ? std::numeric_limits<std::size_t>::max() : max_sockets / 2;
}

connection_id add_connection(connection_budget& budget, core::time_point now)
{
    budget.entries.emplace(++budget.last_id, connection_entry{.since = now});
    return budget.last_id;
}

void set_phase(connection_budget& budget, connection_id id, connection_phase phase,
               core::time_point now)
{
    const auto found = budget.entries.find(id);
    if (found != budget.entries.end())
    {
        found->second = {.phase = phase, .since = now};
    }
}

void remove_connection(connection_budget& budget, connection_id id)
{
    budget.entries.erase(id);
}

std::optional<connection_id> connection_to_close(const connection_budget& budget,
                                                 connection_id newest)
{
    if (budget.entries.size() <= budget.max_open)
    {
        return std::nullopt;
    }
    connection_id out = newest;
    connection_entry first;
    first.phase = connection_phase::serving;
    for (const auto& [id, entry] : budget.entries)
    {
        const bool is_before =
            std::tie(entry.phase, entry.since) < std::tie(first.phase, first.since);
        if (id != newest && entry.phase != connection_phase::serving &&
            (out == newest || is_before))
        {
            out = id;
            first = entry;
        }
    }
    return out;
}

} // namespace zinniaferry::limits
