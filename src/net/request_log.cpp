#include "net/request_log.hpp"

#include <algorithm>

namespace zinniaferry::net
{

namespace
{

/// A longer host or path is cut in the log.
constexpr std::size_t max_logged_text = 100;

} // namespace

boost::json::object describe_outcome(request_outcome outcome)
{
    boost::json::object line = {
        {"request", outcome.request_id},
        {"outcome", outcome.outcome},
        {"status", outcome.status},
        {"version", outcome.version},
        {"configuration_age_ms", core::to_milliseconds(outcome.configuration_age)},
        {"account", outcome.account},
        {"service", outcome.service},
        {"since_first_attempt_ms", core::to_milliseconds(outcome.since_first_attempt)},
        {"ms", core::to_milliseconds(outcome.duration)}};
    if (!outcome.path.empty())
    {
        line["host"] = outcome.host.substr(0, max_logged_text);
        // The query may hold what callers keep private.
        line["path"] = outcome.path.substr(0, std::min(outcome.path.find('?'), max_logged_text));
    }
    if (outcome.admission)
    {
        line["priority"] = outcome.priority;
        line["admission"] = admission::to_string(*outcome.admission);
    }
    if (outcome.grant_source)
    {
        line["rate_decided_by"] = limits::to_string(*outcome.grant_source);
    }
    line["attempts"] = std::move(outcome.attempts);
    return line;
}

} // namespace zinniaferry::net
