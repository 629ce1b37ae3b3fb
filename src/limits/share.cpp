#include "limits/share.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::limits
{

void advance(share& bucket, core::time_point now)
{
    if (now >= bucket.expires)
    {
        bucket.rate = 0.0;
        bucket.cap = 0.0;
        bucket.tokens = 0.0;
    }
    if (now <= bucket.last)
    {
        return;
    }
    const double accrued = bucket.rate * core::to_seconds(now - bucket.last);
    bucket.tokens = std::min(bucket.cap, bucket.tokens + accrued);
    bucket.last = now;
}

bool take(std::span<share* const> shares, core::time_point now)
{
    double total = 0.0;
    for (share* bucket : shares)
    {
        advance(*bucket, now);
        total += bucket->tokens;
    }
    if (total < 1.0)
    {
        return false;
    }
    double missing = 1.0;
    for (share* bucket : shares)
    {
        const double part = std::min(missing, bucket->tokens);
        bucket->tokens -= part;
        missing -= part;
    }
    return true;
}

share split_off(share& bucket, double rate, double cap, double tokens, core::time_point now)
{
    advance(bucket, now);
    share part{.rate = std::clamp(rate, 0.0, bucket.rate),
               .cap = std::clamp(cap, 0.0, bucket.cap),
               .last = now};
    part.tokens = std::clamp(tokens, 0.0, std::min(bucket.tokens, part.cap));
    bucket.rate -= part.rate;
    bucket.cap -= part.cap;
    bucket.tokens = std::min(bucket.tokens - part.tokens, bucket.cap);
    return part;
}

void restore(share& bucket, double rate, double cap, core::time_point now)
{
    advance(bucket, now);
    bucket.rate = rate;
    bucket.cap = cap;
    bucket.tokens = std::min(bucket.tokens, cap);
}

core::duration time_to_token(std::span<const share* const> shares, core::time_point now)
{
    // Shares that are full no longer fill, so the sum over all rates gives a lower bound; a caller
    // that comes back too early is told again.
    double tokens = 0.0;
    double rate = 0.0;
    double cap = 0.0;
    for (const share* bucket : shares)
    {
        share copy = *bucket;
        advance(copy, now);
        tokens += copy.tokens;
        rate += copy.rate;
        cap += copy.cap;
    }
    if (tokens >= 1.0)
    {
        return core::duration::zero();
    }
    constexpr double longest_seconds = 1e9;
    if (cap < 1.0 || rate * longest_seconds < 1.0)
    {
        return core::duration::max();
    }
    return core::from_seconds((1.0 - tokens) / rate);
}

} // namespace zinniaferry::limits
