/// The load that a backend server states about itself with each answer.
#pragma once

#include "routing/server_life.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniaferry::routing
{

/// Load that a server states about itself in `X-Zinnia-Load`.
struct load_report
{
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    server_state state = server_state::serving; ///< serving, warming, cold or draining.
};

/// Returns the report in a header value such as "inflight=3;queue=1;slots=2;state=serving", or
/// nothing when it is malformed. Unknown parts are ignored. Thread safe.
std::optional<load_report> parse_load_report(std::string_view header);

} // namespace zinniaferry::routing
