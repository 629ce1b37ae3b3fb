/// One token bucket that can be lent in part. Seats, pools and loans are all shares.
#pragma once

#include "core/time.hpp"

#include <span>

namespace zinniaferry::limits
{

/// A token bucket. It fills at `rate` up to `cap` and is worth nothing from `expires` on.
struct share
{
    double rate = 0.0;   ///< Tokens a second.
    double cap = 0.0;    ///< Tokens the bucket holds at most.
    double tokens = 0.0; ///< As of `last`.
    core::time_point last{};
    core::time_point expires = core::time_point::max();
};

/// Adds the tokens that accrued since `last`. At `expires` rate, cap and tokens become 0. A time
/// before `last` changes nothing. Not thread safe for a shared share.
void advance(share& bucket, core::time_point now);

/// Takes one whole token, if need be in fractions from several shares, in the given order.
/// Takes nothing and returns false when all shares together hold less than one token.
/// Not thread safe for shared shares.
bool take(std::span<share* const> shares, core::time_point now);

/// Moves rate, cap and tokens out of `bucket`, each at most what it has, and clamps what stays
/// to the lower cap. Returns the part, which starts at `now`. Not thread safe for a shared share.
share split_off(share& bucket, double rate, double cap, double tokens, core::time_point now);

/// Sets rate and cap without adding tokens: what a lender does when a loan ends or its limit
/// changes. Tokens above the new cap are lost. Not thread safe for a shared share.
void restore(share& bucket, double rate, double cap, core::time_point now);

/// Returns how long until the shares together hold one token; `core::duration::max()` when they
/// never will. Thread safe.
core::duration time_to_token(std::span<const share* const> shares, core::time_point now);

} // namespace zinniaferry::limits
