/// The acceptance of configuration documents and the history that deltas are made against. Part
/// of `fleet/config_spread`, whose state it works on.
#pragma once

#include "fleet/config_spread.hpp"

namespace zinniaferry::fleet
{

// What a message names; a service names nothing.
struct expected_document
{
    std::string from;
    std::optional<std::uint64_t> version;
    std::optional<core::digest> digest;
};

/// Returns the version in force, 0 before the first. Thread safe while the state is not modified.
std::uint64_t version_in_force(const config_spread& state);

/// Records a refusal for the state dump and returns it as a result. Not thread safe, as all
/// functions below.
offer_result refuse(config_spread& state, config_refusal refusal);

/// Checks a whole document and puts it in force when its version is higher than the one in force.
offer_result accept_document(config_spread& state, std::string_view text,
                             const expected_document& expected, core::time_point now);

/// Checks the document or delta of a peer.
offer_result accept_reply(config_spread& state, const std::string& from,
                          const config_reply& message, core::time_point now);

/// Returns the delta from `base` to the version in force, empty when there is none that is shorter
/// than the document. Peers mostly ask with the same base, so the delta is kept. Precondition: a
/// version is in force. The reference is valid until the next version.
const std::string& delta_from(config_spread& state, std::uint64_t base);

} // namespace zinniaferry::fleet
