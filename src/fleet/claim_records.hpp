/// The voter's side of claims: records, their copies and who may vote. Part of `fleet/claims`,
/// whose state it works on.
#pragma once

#include "fleet/claims.hpp"

namespace zinniaferry::fleet
{

/// Returns the voter's verdict on a claim of the process with hash `claimer`, and records the
/// claim when it is acknowledged. Not thread safe, as all functions below.
claim_reply vote(claims& state, std::uint64_t claimer, const claim_request& message,
                 core::time_point now);

/// Forgets the claim up to the released attempt.
void release_record(claims& state, std::uint64_t claimer, const claim_release& message);

/// Drops records whose lifetime is over, at the head of the order. Others count as absent.
void drop_expired(claims& state, core::time_point now);

/// Moves a new process on towards being a voter and returns the requests for pages.
std::vector<outgoing> tick_copy(claims& state, core::time_point now,
                                core::random_generator& random);

} // namespace zinniaferry::fleet
