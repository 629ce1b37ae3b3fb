/// Messages between a hub and its subscribers, and their Cap'n Proto encoding (hub.capnp).
#pragma once

#include "admission/service_load.hpp"
#include "core/error.hpp"
#include "fleet/replica.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniaferry::fleet
{

/// Larger messages are rejected. A snapshot of all platform entries must fit.
inline constexpr std::size_t max_hub_message_bytes = 8U << 20U;

/// A daemon of the fleet.
struct member
{
    std::string vm;              ///< Name of its VM.
    std::string address;         ///< Its peer address: IP address and port.
    std::uint32_t link_mbps = 0; ///< Capacity of its VM's link, Mbit/s; 0 if not known.
    std::string data_centre;     ///< Of its VM; empty if not known.

    bool operator==(const member&) const = default;
};

/// Subscriber to hub: the first message on a connection.
struct hello_message
{
    member self;
    std::uint64_t incarnation = 0;   ///< Random; differs between two process starts on one VM.
    store_era era;                   ///< Of the subscriber's replica.
    std::uint64_t revision = 0;      ///< Of the subscriber's replica; 0 for none.
    bool accepts_compressed = false; ///< The subscriber reads compressed messages.
    /// Members of the fleet that the subscriber knows; 0 if it does not know the fleet's size. A
    /// hub that starts again behind a network partition learns from it how large the fleet is.
    std::uint32_t members_known = 0;

    bool operator==(const hello_message&) const = default;
};

/// The load of a service as a daemon or a hub states it. Rates are sent in steps of 0.01/s.
struct stated_load
{
    std::string service;
    admission::service_load load;

    bool operator==(const stated_load&) const = default;
};

/// Subscriber to hub: sent about once a second, and at once when the primary hub changes.
struct report_message
{
    bool primary = false;       ///< The subscriber asks this hub for account grants.
    float selection_rate = 0.0; ///< Selections/s of a backend server by the subscriber.
    std::uint64_t number = 0;   ///< From 1, in the order of sending; see report_echoes.
    /// Time for which the subscriber used this hub as its primary since it last stated such a time,
    /// so that no time is stated to two hubs. Nothing from daemons of older versions.
    std::optional<core::duration> primary_time;
    std::vector<stated_load> loads; ///< Of the services that the subscriber used lately.

    bool operator==(const report_message&) const = default;
};

/// Subscriber to hub: asks for a grant of requests for an account.
struct ask_message
{
    std::uint64_t number = 0; ///< Correlation id, repeated in the grant.
    std::string account;
    std::optional<core::duration> primary_time; ///< As in report_message.

    bool operator==(const ask_message&) const = default;
};

/// Hub to subscriber: the answer to an ask_message.
struct grant_message
{
    std::uint64_t number = 0;     ///< As in the ask_message.
    std::uint32_t requests = 0;   ///< Requests granted; 0 when the account's limit is reached.
    core::duration retry_after{}; ///< With no requests: time until there may be one.

    bool operator==(const grant_message&) const = default;
};

/// Hub to subscriber: sent at each change, and at short intervals without one.
struct update_message
{
    store_era era;                 ///< Of the hub's replica and of all revisions here.
    std::uint64_t revision = 0;    ///< Of the hub's replica.
    bool complete = false;         ///< `changes` is a snapshot of all entries.
    core::duration age{};          ///< The hub knew all changes made until this long ago.
    std::uint64_t last_report = 0; ///< Number of the subscriber's latest report; 0 before it.
    std::vector<entry_change> changes;
    /// Sums over the hub and its subscribers, in updates without changes; see load_sums.
    std::vector<stated_load> loads;

    bool operator==(const update_message&) const = default;
};

/// Hub to subscriber: sent about once a second.
struct fleet_message
{
    std::uint32_t members_known = 0; ///< Subscribed now or recently, the hub included.
    bool settled = false; ///< The hub has run long enough for every member to have subscribed.
    float selection_rate = 0.0; ///< Selections/s of the hub and its subscribers together.
    /// The hub and the members subscribed now; empty if unchanged since the last message.
    std::vector<member> members;

    bool operator==(const fleet_message&) const = default;
};

using hub_message = std::variant<hello_message, report_message, update_message, fleet_message,
                                 ask_message, grant_message>;

/// Returns the message in packed Cap'n Proto encoding. Thread safe.
std::string encode(const hub_message& message);

/// Size of the length field in front of each message: its size in bytes, big-endian.
inline constexpr std::size_t frame_length_bytes = 4;

/// Whether a message may be compressed, which large ones then are.
enum class compression
{
    off,
    allowed
};

/// Returns the encoded message with its length field. Thread safe.
std::string encode_frame(const hub_message& message, compression mode = compression::off);

/// Decodes a message. Error: peer_message_error for malformed bytes. Thread safe.
core::result<hub_message> decode_hub_message(std::string_view bytes);

} // namespace zinniaferry::fleet
