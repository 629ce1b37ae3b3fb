#include "history/account_bucket.hpp"

#include <algorithm>

namespace zinniaferry::history
{

namespace
{

// Counts a request that the limit decided on at the bucket that one process with all requests
// would have.
void count_ideal(account_bucket& bucket)
{
    if (bucket.ideal_tokens >= 1.0)
    {
        bucket.ideal_tokens -= 1.0;
        ++bucket.ideal;
    }
}

} // namespace

void advance(account_bucket& bucket, core::time_point now)
{
    const double added = bucket.rate * core::to_seconds(now - bucket.at);
    bucket.tokens = std::min(bucket.burst, bucket.tokens + added);
    bucket.ideal_tokens = std::min(bucket.burst, bucket.ideal_tokens + added);
    bucket.at = now;
}

void change_limits(account_bucket& bucket, double rate, double burst, core::time_point now)
{
    advance(bucket, now);
    const double more = std::max(0.0, burst - bucket.burst);
    bucket.tokens += more;
    bucket.ideal_tokens += more;
    bucket.rate = rate;
    bucket.burst = burst;
}

double take_admission(account_bucket& bucket, core::time_point now)
{
    advance(bucket, now);
    ++bucket.admitted;
    count_ideal(bucket);
    bucket.tokens -= 1.0;
    const double excess = std::max(0.0, -bucket.tokens);
    // Amounts within rounding add up, so they are kept.
    if (excess > rounding)
    {
        bucket.tokens = 0.0;
    }
    return excess;
}

void take_refusal(account_bucket& bucket, core::time_point now)
{
    advance(bucket, now);
    ++bucket.over_limit;
    count_ideal(bucket);
    bucket.wrongful += bucket.tokens >= 1.0 ? 1 : 0;
}

} // namespace zinniaferry::history
