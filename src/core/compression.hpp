/// Compression of byte strings, in the raw deflate format.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace zinniaferry::core
{

/// Returns the bytes compressed. Thread safe.
std::string compress(std::string_view bytes);

/// Returns the bytes that were compressed to `compressed`, or nothing if these are malformed or not
/// exactly `size` bytes. Precondition: `size` is a size that the caller can afford to allocate.
/// Thread safe.
std::optional<std::string> decompress(std::string_view compressed, std::size_t size);

} // namespace zinniaferry::core
