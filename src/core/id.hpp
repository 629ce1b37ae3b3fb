/// Identities of processes and requests, and the hash that ranks processes.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace zinniaferry::core
{

/// Identity of one run of a daemon. The incarnation is drawn at start, so a restarted process is
/// told apart from its former self.
struct process_id
{
    std::string vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const process_id&) const = default;
};

/// Returns "vm/incarnation" with the incarnation in hexadecimal. Thread safe.
std::string to_string(const process_id& id);

/// Returns a 64-bit hash that is the same on every machine (FNV-1a with a final mix). Thread safe.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Returns the weight of `member` for `key` in rendezvous hashing; the highest wins. Thread safe.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

} // namespace zinniaferry::core

template <>
struct std::hash<zinniaferry::core::process_id>
{
    std::size_t operator()(const zinniaferry::core::process_id& id) const noexcept
    {
        return std::hash<std::string>()(id.vm) ^ (id.incarnation * 0x9E3779B97F4A7C15ULL);
    }
};
