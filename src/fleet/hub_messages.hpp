/// Messages between a daemon and the hubs that it subscribes to, and their encoding.
#pragma once

#include "core/error.hpp"
#include "fleet/replica.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniaferry::fleet
{

/// A larger frame is refused. A complete copy of the platform's entries must fit.
inline constexpr std::size_t max_hub_message_bytes = 8U << 20U;

struct member
{
    std::string vm;
    std::string address; ///< Where other daemons reach it.

    bool operator==(const member&) const = default;
};

/// First message of a subscriber.
struct hello_message
{
    member self;
    std::uint64_t incarnation = 0; ///< Differs between two starts on one VM.
    std::uint64_t revision = 0;    ///< Known to the subscriber; 0 for nothing.

    bool operator==(const hello_message&) const = default;
};

/// Of a subscriber, about once a second and when it changes.
struct report_message
{
    bool primary = false; ///< The subscriber asks this hub for its accounts' requests.

    bool operator==(const report_message&) const = default;
};

/// Of a subscriber that needs requests of an account.
struct ask_message
{
    std::uint64_t number = 0; ///< Repeated in the grant.
    std::string account;

    bool operator==(const ask_message&) const = default;
};

/// Of a hub, for an ask.
struct grant_message
{
    std::uint64_t number = 0;
    std::uint32_t requests = 0;
    core::duration retry_after{};

    bool operator==(const grant_message&) const = default;
};

/// Of a hub, at each change and at short intervals.
struct update_message
{
    std::uint64_t revision = 0;
    bool complete = false; ///< The changes are a complete copy.
    core::duration age{};  ///< Since the hub knew all changes that had been made.
    std::vector<entry_change> changes;

    bool operator==(const update_message&) const = default;
};

/// Of a hub, about once a second.
struct fleet_message
{
    std::uint32_t members_known = 0;
    bool settled = false;        ///< The hub runs for long enough that every member has found it.
    std::vector<member> members; ///< Heard now; empty when they are as told last.

    bool operator==(const fleet_message&) const = default;
};

using hub_message = std::variant<hello_message, report_message, update_message, fleet_message,
                                 ask_message, grant_message>;

/// Returns the message as bytes. Thread safe.
std::string encode(const hub_message& message);

/// Error: peer_message_error for bytes that are no message. Thread safe.
core::result<hub_message> decode_hub_message(std::string_view bytes);

} // namespace zinniaferry::fleet
