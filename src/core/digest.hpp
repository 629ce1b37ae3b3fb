/// SHA-256 digests and the comparison of secrets in constant time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniaferry::core
{

using digest = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 digest of `data`. Thread safe.
digest sha256(std::string_view data);

/// Compares without a time that depends on the content. Thread safe.
bool equal_in_constant_time(const digest& a, const digest& b);

/// Returns 64 lower-case hexadecimal digits. Thread safe.
std::string to_hex(const digest& value);

/// Returns nothing unless `hex` is 64 hexadecimal digits. Thread safe.
std::optional<digest> digest_from_hex(std::string_view hex);

} // namespace zinniaferry::core
