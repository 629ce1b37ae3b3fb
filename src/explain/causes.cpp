#include "explain/causes.hpp"

#include "explain/deciding_attempt.hpp"
#include "explain/explanations.hpp"

#include <algorithm>
#include <array>

namespace zinniaferry::explain
{

namespace
{

/// A load reading with at least this slowdown shows a slow server.
constexpr double slow_from = 1.5;

/// A cause, when it applies and the sentence that explains it. The first rule that applies is used.
struct rule
{
    const char* cause;
    std::string_view outcome; ///< Of the request; empty for any.
    bool (*applies)(const request_facts& facts);
    std::string (*explain)(const request_facts& facts);
};

bool always(const request_facts&)
{
    return true;
}

bool is_success(const request_facts& facts)
{
    return !is_server_error(facts.status);
}

bool is_without_hub(const request_facts& facts)
{
    return facts.hub != nullptr && text_field(facts.hub->fields, "address") == "none";
}

bool is_rate_without_hub(const request_facts& facts)
{
    return is_without_hub(facts) && facts.rate_decided_by != "hub";
}

bool is_rate_standalone(const request_facts& facts)
{
    return facts.rate_decided_by == "standalone";
}

bool is_rate_of_hub(const request_facts& facts)
{
    return facts.rate_decided_by == "hub";
}

bool has_late_hub(const request_facts& facts)
{
    return facts.late_hub != nullptr;
}

bool has_newer_version(const request_facts& facts)
{
    return facts.newer_version != nullptr;
}

// A configuration of a known age refuses only while it is current, unless a newer one is logged.
bool is_behind_late_hub(const request_facts& facts)
{
    return has_late_hub(facts) && (has_newer_version(facts) || !facts.configuration_age);
}

bool has_platform_lost(const request_facts& facts)
{
    return facts.platform_lost != nullptr;
}

bool is_without_configuration_since_start(const request_facts& facts)
{
    return facts.started != nullptr && facts.in_force == nullptr;
}

bool is_at_wrong_server(const request_facts& facts)
{
    return std::any_of(facts.attempts.begin(), facts.attempts.end(), is_misdirected);
}

bool has_end(const request_facts& facts, std::initializer_list<std::string_view> ends)
{
    const attempt_facts* attempt = lost_attempt(facts);
    return attempt != nullptr && std::find(ends.begin(), ends.end(), attempt->end) != ends.end();
}

// A server that fails is often removed later, and one that leaves becomes unusable: the earlier
// line tells the cause.
bool is_lost_at_leaving_server(const request_facts& facts)
{
    const attempt_facts* attempt = lost_attempt(facts);
    return attempt != nullptr && attempt->leaving != nullptr &&
           (attempt->failed == nullptr || attempt->leaving->time <= attempt->failed->time);
}

bool is_lost_at_failed_server(const request_facts& facts)
{
    const attempt_facts* attempt = lost_attempt(facts);
    return attempt != nullptr && attempt->failed != nullptr;
}

bool is_lost_at_wrong_server(const request_facts& facts)
{
    return has_end(facts, {"wrong_server"});
}

bool is_broken(const request_facts& facts)
{
    return has_end(facts, {"broken"});
}

bool is_answer_unusable(const request_facts& facts)
{
    return has_end(facts, {"malformed", "answered"});
}

bool is_late(const request_facts& facts)
{
    return has_end(facts, {"timed_out", "open"});
}

bool is_lost_at_slow_server(const request_facts& facts)
{
    if (!is_late(facts))
    {
        return false;
    }
    const attempt_facts* attempt = lost_attempt(facts);
    const bool is_slow = attempt->slowdown.value_or(1.0) >= slow_from;
    const bool is_full = attempt->running && attempt->slots && *attempt->running >= *attempt->slots;
    return is_slow || is_full;
}

bool is_request_invalid(const request_facts& facts)
{
    constexpr std::array<std::string_view, 4> outcomes = {"bad_request", "headers_too_large",
                                                          "body_too_large", "slow_request"};
    return std::find(outcomes.begin(), outcomes.end(), facts.outcome) != outcomes.end();
}

constexpr std::array rules = {
    rule{"answered", "answered", is_success, explain_answer},
    rule{"server_error", "answered", always, explain_server_error},
    rule{"rate_without_hub", "over_limit", is_rate_without_hub, explain_rate_without_hub},
    rule{"rate_hub_silent", "over_limit", is_rate_standalone, explain_rate_standalone},
    rule{"rate_pool_empty", "over_limit", is_rate_of_hub, explain_rate_of_hub},
    rule{"rate_used_up", "over_limit", always, explain_rate},
    rule{"outdated_behind_late_hub", "configuration_outdated", has_late_hub, explain_late_hub},
    rule{"outdated_behind_late_hub", "unknown_route", is_behind_late_hub, explain_late_hub},
    rule{"outdated_behind_late_hub", "unknown_key", is_behind_late_hub, explain_late_hub},
    rule{"outdated_platform_lost", "configuration_outdated", has_platform_lost,
         explain_platform_lost},
    rule{"outdated_without_hub", "configuration_outdated", is_without_hub,
         explain_outdated_without_hub},
    rule{"outdated_configuration", "configuration_outdated", always, refusing_configuration},
    rule{"outdated_configuration", "unknown_route", has_newer_version, refusing_configuration},
    rule{"outdated_configuration", "unknown_key", has_newer_version, refusing_configuration},
    rule{"unknown_route", "unknown_route", always, explain_unknown},
    rule{"unknown_key", "unknown_key", always, explain_unknown},
    rule{"just_started", "no_configuration", is_without_configuration_since_start, explain_start},
    rule{"no_configuration", "no_configuration", always, explain_no_configuration},
    rule{"wrong_server", "no_server", is_at_wrong_server, explain_wrong_server},
    rule{"no_server", "no_server", always, explain_no_server},
    rule{"overloaded", "overloaded", always, explain_overloaded},
    rule{"daemon_stopping", "stopping", always, explain_stopping},
    rule{"expired", "expired", always, explain_expired},
    rule{"caller_gone", "caller_gone", always, explain_caller_gone},
    rule{"wrong_server", "", is_lost_at_wrong_server, explain_wrong_server},
    rule{"server_leaving", "", is_lost_at_leaving_server, explain_leaving_server},
    rule{"server_failed", "", is_lost_at_failed_server, explain_failed_server},
    rule{"server_failed", "", is_broken, explain_broken},
    rule{"server_response_unusable", "", is_answer_unusable, explain_unusable_answer},
    rule{"server_slow", "", is_lost_at_slow_server, explain_slow_server},
    rule{"server_no_response", "", is_late, explain_no_response},
    rule{"deadline", "deadline", always, explain_deadline},
    rule{"request_invalid", "", is_request_invalid, explain_invalid_request},
    rule{"unknown_outcome", "", always, explain_unknown_outcome},
};

} // namespace

cause find_cause(const request_facts& facts)
{
    const auto found =
        std::find_if(rules.begin(), rules.end(),
                     [&](const rule& candidate)
                     {
                         const bool is_of_outcome =
                             candidate.outcome.empty() || candidate.outcome == facts.outcome;
                         return is_of_outcome && candidate.applies(facts);
                     });
    // The last rule applies to every request.
    return {.name = found->cause, .text = found->explain(facts)};
}

} // namespace zinniaferry::explain
