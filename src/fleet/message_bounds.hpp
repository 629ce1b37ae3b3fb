/// Bounds that every message between daemons holds, on sending and on receiving.
#pragma once

#include "fleet/messages.hpp"

namespace zinniaferry::fleet
{

/// Longest duration in a message; it also stands for "never" in the age of a contact.
inline constexpr core::duration max_duration = never_heard;

/// Largest body of a configuration reply, in bytes.
inline constexpr std::size_t max_body_size = std::size_t{1} << 20U;

/// Tells whether names, lists and the body are short enough, numbers finite and not negative, and
/// durations between zero and `max_duration`. Thread safe.
bool is_within_bounds(const message& value);

} // namespace zinniaferry::fleet
