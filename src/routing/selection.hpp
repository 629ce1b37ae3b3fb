/// Choice of a backend server for one request by expected waiting.
#pragma once

#include "core/random.hpp"
#include "routing/data_centre_weights.hpp"
#include "routing/server_table.hpp"

#include <optional>
#include <span>

namespace zinniaferry::routing
{

struct selection_options
{
    std::uint32_t candidates = 4; ///< Servers drawn; the best of them is taken.
    core::duration report_decay =
        std::chrono::milliseconds(50); ///< Age at which a report counts 1/e.
};

/// Returns the expected time in seconds until a request sent now is answered. Lower is better.
/// Thread safe on a constant table.
double score(const server_table& table, const server& entry, const selection_options& options,
             core::time_point now);

/// Returns the server for one request, or nothing when no server that needs no permit may take
/// it. Servers in `avoid` are taken only when there is no other. Leaving servers, data centres
/// with weight 0 and servers at their connection limit are never taken; suspect servers only when
/// no other server is left. The caller reports on_sent. Not thread safe for a shared generator.
std::optional<server_index> select(const server_table& table, const data_centre_weights& weights,
                                   const selection_options& options, service_index service,
                                   std::span<const server_index> avoid, core::time_point now,
                                   core::random_generator& random);

/// Returns a cold server that should get a request next, for which the caller asks a permit, or
/// nothing. Not thread safe for a shared generator.
std::optional<server_index> select_cold(const server_table& table,
                                        const data_centre_weights& weights, service_index service,
                                        core::time_point now, core::random_generator& random);

} // namespace zinniaferry::routing
