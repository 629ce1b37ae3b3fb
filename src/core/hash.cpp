#include "core/hash.hpp"

namespace zinniaferry::core
{

namespace
{

constexpr std::uint64_t fnv_offset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001B3ULL;

// The finalizer of MurmurHash3: FNV-1a alone mixes the high bits of short strings badly.
std::uint64_t mix(std::uint64_t h)
{
    h ^= h >> 33U;
    h *= 0xFF51AFD7ED558CCDULL;
    h ^= h >> 33U;
    h *= 0xC4CEB9FE1A85EC53ULL;
    h ^= h >> 33U;
    return h;
}

} // namespace

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t h = fnv_offset ^ seed;
    for (const char c : text)
    {
        h ^= static_cast<unsigned char>(c);
        h *= fnv_prime;
    }
    return mix(h);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member)
{
    return stable_hash(member, stable_hash(key));
}

} // namespace zinniaferry::core
