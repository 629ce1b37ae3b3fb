/// Messages between the daemons as bytes: Cap'n Proto in its packed form, with bounds on all that
/// comes in.
#pragma once

#include "core/error.hpp"
#include "fleet/messages.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace zinniaferry::fleet
{

/// Largest encoded message: a configuration of 1 MB and room for the rest.
inline constexpr std::size_t max_message_size = (std::size_t{1} << 20U) + (std::size_t{64} << 10U);

/// Longest name of a VM, account or server in a message, in bytes.
inline constexpr std::size_t max_name_size = 256;

/// Longest list in a message.
inline constexpr std::size_t max_list_size = 4096;

/// Returns the bytes of a message. Error: peer_message_error when it is beyond the bounds that
/// `decode` holds. Thread safe.
core::result<std::string> encode(const message& value);

/// Returns the message in `bytes`. Error: peer_message_error. Any bytes may be passed; a number
/// that is negative or not finite, a list, name or body that is too long and an unknown kind are
/// refused. Thread safe.
core::result<message> decode(std::string_view bytes);

} // namespace zinniaferry::fleet
