/// Formats a configuration as canonical JSON text. The fleet compares digests of it.
#pragma once

#include "config/model.hpp"

#include <string>
#include <string_view>

namespace zinniaferry::config
{

/// Returns the name of the route class with this priority: "order", "lookup" or "browse".
/// A number greater than `browse_priority` counts as "browse". Thread safe.
std::string_view route_class_name(std::uint32_t priority);

/// Returns the canonical text: fields in a fixed order, entries in the order of the configuration,
/// one entry per line. `read_configuration` restores an equal configuration from it when the
/// configuration is valid. Thread safe.
std::string canonical_text(const configuration& config);

/// Returns the part of the canonical text that describes one entry. Thread safe.
std::string canonical_text(const region& value);
std::string canonical_text(const data_centre& value);
std::string canonical_text(const account& value);
std::string canonical_text(const backend_server& value);
std::string canonical_text(const service& value);
std::string canonical_text(const route& value);

/// Returns the SHA-256 digest of the canonical text. Thread safe.
core::digest digest_of(const configuration& config);

} // namespace zinniaferry::config
