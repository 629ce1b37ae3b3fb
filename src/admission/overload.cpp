#include "admission/overload.hpp"

#include <algorithm>

namespace zinniaferry::admission
{

namespace
{

/// Without a refusal for this long an overload has ended.
constexpr core::duration overload_gap = std::chrono::milliseconds(500);
constexpr core::duration min_retry_after = std::chrono::milliseconds(100);
constexpr core::duration max_retry_after = std::chrono::seconds(1);
/// Times are spread between these fractions of the expected one.
constexpr double min_spread = 0.5;
constexpr double max_spread = 1.5;

} // namespace

bool is_overloaded(const overload& state, core::time_point now)
{
    return now - state.refused_at <= overload_gap;
}

void on_refused(overload& state, core::time_point now)
{
    if (!is_overloaded(state, now))
    {
        state.began_at = now;
    }
    state.refused_at = now;
}

core::duration retry_after(const overload& state, core::time_point now,
                           core::random_generator& random)
{
    const core::duration lasted =
        is_overloaded(state, now) ? now - state.began_at : core::duration::zero();
    const core::duration expected = std::clamp(lasted, min_retry_after, max_retry_after);
    const double spread = min_spread + (max_spread - min_spread) * core::uniform(random);
    return core::from_seconds(core::to_seconds(expected) * spread);
}

} // namespace zinniaferry::admission
