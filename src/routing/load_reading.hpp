/// The load that a backend server reports, and parsers for the header formats that carry it.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniaferry::routing
{

/// Load as a backend server reported it.
struct load_reading
{
    std::uint32_t running = 0;    ///< Requests that it runs.
    std::uint32_t waiting = 0;    ///< Requests in its queue.
    std::uint32_t slots = 1;      ///< Requests that it can run at once.
    double slowdown = 1.0;        ///< Factor by which work currently takes longer than usual.
    core::time_point received_at; ///< When the report reached this daemon.
};

/// Moving average of the load of a service's servers.
struct load_average
{
    double busy_fraction = 1.0; ///< Of the servers read; busy ones have few or no free slots.
    core::time_point updated_at;
};

/// Adds the reading of one server. Not thread safe.
void record(load_average& average, const load_reading& reading);

/// Returns whether any two servers very likely include one with a free slot: few servers have been
/// busy in readings of the last seconds. Thread safe.
bool is_calm(const load_average& average, core::time_point now);

/// Parses a load header that was received at `now`; nothing for malformed text. Thread safe.
using load_parser = std::optional<load_reading> (*)(std::string_view text, core::time_point now);

/// Parses "running,waiting,slots[,slowdown in hundredths]". Thread safe.
std::optional<load_reading> parse_positional_load(std::string_view text, core::time_point now);

/// Parses "inflight=I;queue=Q;slots=S;state=STATE". Other names are ignored; each of
/// the first three must be there once. Thread safe.
std::optional<load_reading> parse_named_load(std::string_view text, core::time_point now);

} // namespace zinniaferry::routing
