/// Reads and checks configuration documents: JSON with comments and trailing commas.
#pragma once

#include "config/model.hpp"
#include "config/settings.hpp"
#include "config/text_file.hpp"
#include "core/error.hpp"

#include <span>
#include <string>
#include <string_view>

namespace zinniaferry::config
{

/// Bounds of the numbers in a configuration. JSON numbers represent integers exactly up to 2^53.
inline constexpr std::uint64_t max_version = (1ULL << 53U) - 1;
inline constexpr double min_weight = 0.001;
inline constexpr double max_weight = 1000;
inline constexpr double min_rate = 0.001; ///< Requests/s.
inline constexpr double max_rate = 1e7;   ///< Requests/s.
inline constexpr double min_burst = 1;    ///< Requests; one request consumes a whole token.
inline constexpr double max_burst = 1e7;  ///< Requests.
inline constexpr std::size_t max_keys_per_account = 2;
inline constexpr std::uint32_t max_slots = 10000;
inline constexpr std::uint32_t max_connections_limit = 100000;
inline constexpr core::duration max_warmup = std::chrono::minutes(10);
inline constexpr std::uint32_t max_attempts = 10;
inline constexpr std::size_t max_host_length = 253; ///< Characters.
inline constexpr core::duration min_timeout = std::chrono::milliseconds(1);
inline constexpr core::duration max_timeout = std::chrono::minutes(10);
inline constexpr std::size_t max_prefix_length = 256; ///< Characters.

/// The field names that the reader accepts in the objects of one section.
struct section_fields
{
    std::string_view section; ///< Such as "accounts"; "configuration" for the document itself.
    std::span<const std::string_view> names;
};

/// Returns the names of all fields that `read_configuration` accepts. Thread safe.
std::span<const section_fields> configuration_fields();

/// Reads and checks a whole configuration. `file` only appears in errors. Error: document_error for
/// the first invalid field. Thread safe.
core::result<configuration> read_configuration(std::string_view text, const std::string& file);

} // namespace zinniaferry::config
