/// Learns which part of what arrives at a service its servers reject although they have free slots,
/// and decides which requests the retry budget is kept for meanwhile.
///
/// Load pattern: for some seconds, every server of a service rejects a random part of its arrivals.
/// Another server takes most of the rejected requests, but not all retries fit the budget.
#pragma once

#include "core/time.hpp"

namespace zinniaferry::limits
{

/// Arrivals at the servers of one service, as sums that decay exponentially.
struct rejections
{
    double arrivals = 0.0;
    double rejected = 0.0;
    core::time_point updated_at;
};

/// What a request would use a retry for.
enum class retry_use
{
    hedge,        ///< A server is working on it.
    first_visit,  ///< No server has it; its caller has not been refused yet.
    further_visit ///< No server has it, and its caller was refused before.
};

/// Not thread safe: calls on one object must not run concurrently. The others are thread safe.

/// Records that a server with free slots took a request or rejected it.
void record_arrival(rejections& service, bool rejected, core::time_point now);

/// Returns the rejected part of the recent arrivals; 0 while they are too few to tell.
double rejected_share(const rejections& service, core::time_point now);

/// Returns whether a service rejects so much that the budget is kept for rejected requests.
bool is_rejecting(double rejected_share);

/// Returns the retries that the budget must hold for this use; infinity if it must not be used for
/// that now. `ratio` is the budget's retries per request.
double required_retries(double rejected_share, double ratio, retry_use use);

/// Returns until when a rejected request waits for the budget instead of being refused.
/// Precondition: `objective_end` is when the response is late.
core::time_point retry_wait_end(double rejected_share, retry_use use, core::time_point arrived,
                                core::time_point objective_end);

/// Returns when the caller of a request that servers rejected is to return.
core::duration retry_after_rejection(double rejected_share);

} // namespace zinniaferry::limits
