/// Known ways to choose a server, kept to compare selection.hpp with.
#pragma once

#include "core/random.hpp"
#include "routing/data_centre_weights.hpp"
#include "routing/server_table.hpp"

#include <optional>

namespace zinniaferry::routing
{

enum class baseline
{
    random,
    round_robin,
    least_in_flight, ///< Fewest requests in flight from this process.
    two_choices      ///< The one with fewer requests in flight from this process of two drawn.
};

/// Position of the next server per service for round_robin.
struct baseline_state
{
    std::vector<std::uint32_t> next;
};

/// Returns "random", "round_robin", "least_in_flight" or "two_choices". Thread safe.
const char* to_string(baseline kind);

/// Returns a server under the same rules of exclusion as select(): suspect servers are taken only
/// when no other is left. Not thread safe.
std::optional<server_index> select_baseline(baseline kind, baseline_state& state,
                                            const server_table& table,
                                            const data_centre_weights& weights,
                                            service_index service, core::time_point now,
                                            core::random_generator& random);

} // namespace zinniaferry::routing
