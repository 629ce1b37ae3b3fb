#include "admission/stated_deadlines.hpp"

#include <algorithm>

namespace zinniaferry::admission
{

namespace
{

/// Nothing is concluded from fewer requests.
constexpr std::size_t min_count = 4;
/// Fraction of the recorded requests that may come from returning callers, as failures also make
/// callers return.
constexpr double returning_fraction = 0.1;

// The least that first attempts state.
core::duration shortest_first_attempt(const stated_deadlines& deadlines)
{
    auto sorted = deadlines.latest;
    const std::size_t known = std::min(deadlines.count, sorted.size());
    const auto position =
        static_cast<std::ptrdiff_t>(static_cast<double>(known) * returning_fraction);
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(known);
    std::nth_element(sorted.begin(), sorted.begin() + position, end);
    return *(sorted.begin() + position);
}

} // namespace

void record(stated_deadlines& deadlines, core::duration stated)
{
    deadlines.latest.at(deadlines.count % deadlines.latest.size()) = stated;
    ++deadlines.count;
}

core::duration time_since_first_attempt(const stated_deadlines& deadlines, core::duration stated)
{
    if (deadlines.count < min_count)
    {
        return core::duration::zero();
    }
    return std::max(core::duration::zero(), shortest_first_attempt(deadlines) - stated);
}

} // namespace zinniaferry::admission
