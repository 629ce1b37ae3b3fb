/// Token bucket, on which the rate limits and budgets of this folder are built.
#pragma once

#include "core/time.hpp"

namespace zinniaferry::limits
{

/// One token admits one request, or one probe.
struct token_bucket
{
    double rate = 0.0;  ///< Tokens/s.
    double depth = 0.0; ///< Most tokens that it holds.
    double tokens = 0.0;
    core::time_point refilled_at; ///< The epoch before the first use.
};

/// Not thread safe: calls on one token_bucket must not run concurrently.

/// Adds the tokens earned since the last call, up to the depth.
void refill(token_bucket& bucket, core::time_point now);

/// Refills the bucket at its previous rate, and sets its rate and depth.
void resize(token_bucket& bucket, double rate, double depth, core::time_point now);

} // namespace zinniaferry::limits
