/// Random numbers for the decision logic. The generator is a parameter, so that runs can be
/// repeated from a seed.
#pragma once

#include <cstdint>
#include <random>

namespace zinniaferry::core
{

/// Generates the same sequence from a seed on every platform.
using random_generator = std::mt19937_64;

/// Returns a uniformly distributed number in [0, 1). Not thread safe for a shared generator.
inline double uniform(random_generator& random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

/// Returns an index in [0, size), nearly uniformly distributed. Precondition: size > 0. Not thread
/// safe for a shared generator.
inline std::size_t uniform_index(random_generator& random, std::size_t size)
{
    return static_cast<std::size_t>(random() % size);
}

} // namespace zinniaferry::core
