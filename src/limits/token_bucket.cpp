#include "limits/token_bucket.hpp"

#include <algorithm>

namespace zinniaferry::limits
{

void refill(token_bucket& bucket, core::time_point now)
{
    const double earned = core::to_seconds(now - bucket.refilled_at) * bucket.rate;
    bucket.tokens = std::min(bucket.depth, bucket.tokens + std::max(0.0, earned));
    bucket.refilled_at = now;
}

void resize(token_bucket& bucket, double rate, double depth, core::time_point now)
{
    if (bucket.refilled_at == core::time_point())
    {
        bucket.refilled_at = now;
    }
    refill(bucket, now);
    bucket.rate = rate;
    bucket.depth = depth;
    bucket.tokens = std::min(bucket.tokens, depth);
}

} // namespace zinniaferry::limits
