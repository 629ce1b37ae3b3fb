/// The limit of one account over all processes, as one central token bucket.
#pragma once

#include "core/time.hpp"

#include <cstdint>

namespace zinniaferry::history
{

/// Part of a request by which sums of tokens may be wrong.
inline constexpr double rounding = 1e-6;

/// The capacity that one account is entitled to over all processes; drained by admissions only.
struct account_bucket
{
    double rate = 0.0;
    double burst = 0.0;
    double tokens = 0.0;
    core::time_point at{};
    std::uint64_t requests = 0;
    std::uint64_t admitted = 0;
    std::uint64_t over_limit = 0;
    std::uint64_t wrongful = 0; ///< Refused over the limit with a whole token here.
    double ideal_tokens = 0.0;  ///< Of a bucket that sees every request at its end.
    std::uint64_t ideal = 0;    ///< Admissions of that bucket, of those admitted or over the limit.
};

/// Brings the bucket to the time `now`. Not thread safe, as all functions below.
void advance(account_bucket& bucket, core::time_point now);

/// Puts other limits in force at `now`. A larger burst gives its tokens at once; a smaller one
/// drops those above it with the next `advance`.
void change_limits(account_bucket& bucket, double rate, double burst, core::time_point now);

/// Takes an admission. Returns by how much the bucket fell short, 0 when it did not; an excess
/// counts once and not again with each later admission.
double take_admission(account_bucket& bucket, core::time_point now);

/// Takes a refusal over the limit.
void take_refusal(account_bucket& bucket, core::time_point now);

} // namespace zinniaferry::history
