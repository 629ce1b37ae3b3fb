/// The load that a backend server reports of itself, and the forms in which headers state it.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniaferry::routing
{

/// Load that a backend server reported of itself.
struct load_reading
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double slowdown = 1.0; ///< How much longer work takes there at this moment.
    core::time_point received_at;
};

/// Reads the load that a backend server reports in a header; nothing for other text. Thread safe.
using load_parser = std::optional<load_reading> (*)(std::string_view text, core::time_point now);

/// "running,waiting,slots[,slowdown in hundredths]".
std::optional<load_reading> parse_positional_load(std::string_view text, core::time_point now);

/// "inflight=I;queue=Q;slots=S;state=STATE".
std::optional<load_reading> parse_named_load(std::string_view text, core::time_point now);

} // namespace zinniaferry::routing
