/// Hashes that are the same on every machine, so that all daemons rank the members in the same
/// order.
#pragma once

#include <cstdint>
#include <string_view>

namespace zinniaferry::core
{

/// Returns a 64-bit hash that is the same on every machine: FNV-1a with a finalizer. Thread safe.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Returns the weight of `member` for `key` in rendezvous hashing; the member with the highest
/// weight is chosen first. Thread safe.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

} // namespace zinniaferry::core
