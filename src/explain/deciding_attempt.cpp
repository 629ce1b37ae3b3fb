#include "explain/deciding_attempt.hpp"

#include <algorithm>

namespace zinniaferry::explain
{

namespace
{

/// HTTP statuses from it on are failures of the server.
constexpr std::uint64_t first_server_error = 500;

bool has_failed(const attempt_facts& attempt)
{
    return attempt.end != "not_run" &&
           (attempt.end != "answered" || is_server_error(attempt.status));
}

bool is_longer(const attempt_facts& a, const attempt_facts& b)
{
    return a.duration < b.duration;
}

} // namespace

bool is_server_error(std::uint64_t status)
{
    return status >= first_server_error;
}

bool is_misdirected(const attempt_facts& attempt)
{
    return attempt.end == "wrong_server";
}

const attempt_facts* deciding_attempt(const request_facts& facts)
{
    const std::vector<attempt_facts>& attempts = facts.attempts;
    if (attempts.empty())
    {
        return nullptr;
    }
    if (facts.outcome == "deadline" || facts.outcome == "caller_gone")
    {
        return &*std::max_element(attempts.begin(), attempts.end(), is_longer);
    }
    const auto found = std::find_if(attempts.rbegin(), attempts.rend(), has_failed);
    return found == attempts.rend() ? nullptr : &*found;
}

const attempt_facts* lost_attempt(const request_facts& facts)
{
    const bool is_lost = facts.outcome == "deadline" || facts.outcome == "server_lost" ||
                         facts.outcome == "unusable_answer";
    return is_lost ? deciding_attempt(facts) : nullptr;
}

} // namespace zinniaferry::explain
