/// Prints a configuration as canonical text, which the fleet compares by digest.
#pragma once

#include "config/model.hpp"

#include <string>
#include <string_view>

namespace zinniaferry::config
{

/// Returns the class that stands for the rank in a configuration: "order", "lookup" or "browse".
/// Thread safe.
std::string_view route_class_name(std::uint32_t priority);

/// Returns the canonical text: the fields in the order of the model, the entries in the order
/// given, one entry a line. `read_configuration` of it gives an equal configuration when the
/// configuration is valid. Thread safe.
std::string canonical_text(const configuration& config);

/// Returns the text of one entry as it stands in the canonical text. Thread safe.
std::string canonical_text(const region& value);
std::string canonical_text(const data_centre& value);
std::string canonical_text(const account& value);
std::string canonical_text(const backend_server& value);
std::string canonical_text(const service& value);
std::string canonical_text(const route& value);

/// Returns the digest of the canonical text. Thread safe.
core::digest digest_of(const configuration& config);

} // namespace zinniaferry::config
