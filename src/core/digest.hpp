/// SHA-256 digests and the comparison of secrets in constant time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniaferry::core
{

/// A SHA-256 digest.
using digest = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 digest of `data`. Thread safe.
digest sha256(std::string_view data);

/// Compares in a time that does not depend on the content, against timing attacks. Thread safe.
bool equal_in_constant_time(const digest& a, const digest& b);

/// Returns 64 lower-case hexadecimal digits. Thread safe.
std::string to_hex(const digest& value);

/// Parses 64 hexadecimal digits of either case; nothing for other text. Thread safe.
std::optional<digest> digest_from_hex(std::string_view hex);

} // namespace zinniaferry::core
