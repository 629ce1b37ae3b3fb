/// The time for which a subscriber states that it uses a hub as its primary one.
#pragma once

#include "core/time.hpp"

#include <optional>

namespace zinniaferry::fleet
{

/// What a subscriber has stated to one hub.
struct primary_statement
{
    /// Until when time was stated; nothing while another hub, or none, is the primary one.
    std::optional<core::time_point> stated_until;
};

/// Returns the time to state in a message to the hub: since the last one, if the hub was the
/// primary one then. `is_primary` is whether it is now. Not thread safe.
inline core::duration state_primary_time(primary_statement& statement, bool is_primary,
                                         core::time_point now)
{
    const core::duration out =
        statement.stated_until ? now - *statement.stated_until : core::duration();
    statement.stated_until = is_primary ? std::optional(now) : std::nullopt;
    return out;
}

} // namespace zinniaferry::fleet
