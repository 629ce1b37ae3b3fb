#include "limits/rejections.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace zinniaferry::limits
{

namespace
{

/// The sums lose about two thirds of their weight in this time.
constexpr core::duration time_constant = std::chrono::seconds(1);
/// Weight of arrivals below which the share is not known.
constexpr double min_arrivals = 6.0;
/// Smaller shares occur while servers fill up, and the budget covers them.
constexpr double min_rejecting_share = 0.05;
/// Retries that the budget must hold before a request whose caller can still come back takes one:
/// the excess over 1 is kept for callers who were refused before.
constexpr double first_visit_retries = 1.25;
/// Fraction of the time until the objective during which a request waits for the budget; the rest
/// is needed at the next server.
constexpr double wait_fraction = 0.25;
constexpr core::duration rejected_retry_after = std::chrono::milliseconds(20);
constexpr core::duration max_rejected_retry_after = std::chrono::milliseconds(200);

void decay(rejections& service, core::time_point now)
{
    const double age = std::max(0.0, core::to_seconds(now - service.updated_at));
    const double factor = std::exp(-age / core::to_seconds(time_constant));
    service.arrivals *= factor;
    service.rejected *= factor;
    service.updated_at = now;
}

} // namespace

void record_arrival(rejections& service, bool rejected, core::time_point now)
{
    decay(service, now);
    service.arrivals += 1.0;
    service.rejected += rejected ? 1.0 : 0.0;
}

double rejected_share(const rejections& service, core::time_point now)
{
    rejections current = service;
    decay(current, now);
    return current.arrivals < min_arrivals ? 0.0 : current.rejected / current.arrivals;
}

bool is_rejecting(double rejected_share)
{
    return rejected_share >= min_rejecting_share;
}

double required_retries(double rejected_share, double ratio, retry_use use)
{
    if (!is_rejecting(rejected_share))
    {
        return 1.0;
    }
    if (use == retry_use::hedge)
    {
        return std::numeric_limits<double>::infinity();
    }
    const bool exceeds_budget = rejected_share > ratio;
    return exceeds_budget && use == retry_use::first_visit ? first_visit_retries : 1.0;
}

core::time_point retry_wait_end(double rejected_share, retry_use use, core::time_point arrived,
                                core::time_point objective_end)
{
    if (!is_rejecting(rejected_share) || use != retry_use::further_visit)
    {
        return arrived;
    }
    const core::duration left = std::max(core::duration::zero(), objective_end - arrived);
    return arrived + core::from_seconds(core::to_seconds(left) * wait_fraction);
}

core::duration retry_after_rejection(double rejected_share)
{
    const double accepted_share = std::max(0.0, 1.0 - rejected_share);
    const core::duration pause =
        accepted_share <= 0.1
            ? max_rejected_retry_after
            : core::from_seconds(core::to_seconds(rejected_retry_after) / accepted_share);
    return std::min(pause, max_rejected_retry_after);
}

} // namespace zinniaferry::limits
