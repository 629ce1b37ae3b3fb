/// Token bucket that keeps retries a fixed part of the requests, so that they cannot feed an
/// overload.
#pragma once

namespace zinniaferry::request
{

struct retry_budget_options
{
    double fraction = 0.1; ///< Retries per request.
    double cap = 10.0;     ///< Retries that may be saved up.
};

struct retry_budget
{
    retry_budget_options options;
    double tokens = 0.0; ///< Starts empty: a restarted process has earned no retry.
};

/// Builds an empty budget. Thread safe.
retry_budget make_retry_budget(retry_budget_options options);

/// Counts a first attempt. Not thread safe.
void on_request(retry_budget& budget);

/// Takes one retry; false when the budget does not allow it. Not thread safe.
bool try_retry(retry_budget& budget);

} // namespace zinniaferry::request
