#include "explain/explanations.hpp"

#include "explain/deciding_attempt.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace zinniaferry::explain
{

namespace
{

std::string milliseconds(core::duration value)
{
    return fmt::format("{:.1f} ms", core::to_milliseconds(value));
}

// Returns when a line was written, seen from the arrival of the request.
std::string when(const request_facts& facts, const log_line& line)
{
    const core::duration offset = line.time - facts.arrived_at;
    return offset < core::duration() ? milliseconds(-offset) + " before the request"
                                     : milliseconds(offset) + " after the arrival";
}

std::string age_of(const request_facts& facts)
{
    return facts.configuration_age ? fmt::format("known to be current {} earlier",
                                                 milliseconds(*facts.configuration_age))
                                   : std::string("whose age the line does not state");
}

std::string version_of(const request_facts& facts)
{
    return facts.version > 0 ? std::to_string(facts.version)
                             : std::string("of a version that is not logged");
}

std::string target_of(const request_facts& facts)
{
    return facts.path.empty() ? "the request" : fmt::format("{}{}", facts.host, facts.path);
}

std::string describe(const attempt_facts& attempt)
{
    return fmt::format("the attempt at {}, sent {} after the arrival, ended as {} after {}",
                       attempt.server, milliseconds(attempt.sent_after), attempt.end,
                       milliseconds(attempt.duration));
}

std::string describe_deciding(const request_facts& facts)
{
    const attempt_facts* attempt = deciding_attempt(facts);
    return attempt == nullptr ? "its line names no attempt" : describe(*attempt);
}

std::string describe_reading(const attempt_facts& attempt)
{
    if (!attempt.slowdown || !attempt.running || !attempt.waiting || !attempt.slots)
    {
        return "no load reading";
    }
    return fmt::format("{} running, {} waiting, {} slots, slowdown {}, read {} before",
                       *attempt.running, *attempt.waiting, *attempt.slots, *attempt.slowdown,
                       milliseconds(attempt.reading_age.value_or(core::duration())));
}

} // namespace

std::string explain_answer(const request_facts& facts)
{
    const auto answered =
        std::find_if(facts.attempts.begin(), facts.attempts.end(),
                     [&](const attempt_facts& attempt)
                     { return attempt.end == "answered" && attempt.status == facts.status; });
    const std::string server =
        answered == facts.attempts.end() ? std::string("a server") : answered->server;
    return fmt::format("{} responded with status {} {} after the arrival, in {} attempts", server,
                       facts.status, milliseconds(facts.duration), facts.attempts.size());
}

std::string explain_server_error(const request_facts& facts)
{
    return fmt::format("a server responded with status {}: {}", facts.status,
                       describe_deciding(facts));
}

std::string explain_rate_without_hub(const request_facts& facts)
{
    return fmt::format("{} had no hub (since {}), and account {} had used up the VM's own share of "
                       "its rate",
                       facts.ended->vm, when(facts, *facts.hub), facts.account);
}

std::string explain_rate_standalone(const request_facts& facts)
{
    return fmt::format("the hub did not answer {} in time, and account {} had used up the VM's own "
                       "share of its rate",
                       facts.ended->vm, facts.account);
}

std::string explain_rate_of_hub(const request_facts& facts)
{
    return fmt::format("the hub's pool of account {} was empty: the account had used up its rate",
                       facts.account);
}

std::string explain_rate(const request_facts& facts)
{
    return fmt::format("account {} had used up its rate; the line does not say whether the hub or "
                       "the VM decided",
                       facts.account);
}

std::string refusing_configuration(const request_facts& facts)
{
    std::string out =
        fmt::format("{} refused {} ({}) by configuration {}, {}", facts.ended->vm, target_of(facts),
                    facts.outcome, version_of(facts), age_of(facts));
    if (facts.newer_version != nullptr)
    {
        out += fmt::format("; version {} was in force at {} {}",
                           count_field(facts.newer_version->fields, "version"),
                           facts.newer_version->vm, when(facts, *facts.newer_version));
    }
    return out;
}

std::string explain_late_hub(const request_facts& facts)
{
    const core::duration delay =
        duration_field(facts.late_hub->fields, "delay_ms").value_or(core::duration());
    return fmt::format("{}; updates of hub {} came late ({}, first noticed {})",
                       refusing_configuration(facts), text_field(facts.late_hub->fields, "address"),
                       milliseconds(delay), when(facts, *facts.late_hub));
}

std::string explain_platform_lost(const request_facts& facts)
{
    return fmt::format("{}; {} had lost the platform {}", refusing_configuration(facts),
                       facts.platform_lost->vm, when(facts, *facts.platform_lost));
}

std::string explain_outdated_without_hub(const request_facts& facts)
{
    return fmt::format("{}; the VM had no hub since {}", refusing_configuration(facts),
                       when(facts, *facts.hub));
}

std::string explain_unknown(const request_facts& facts)
{
    return refusing_configuration(facts) + "; no newer version is in these logs" +
           (facts.configuration_age ? "" : ", so it is not known whether this one was current");
}

std::string explain_start(const request_facts& facts)
{
    return fmt::format("{} had no configuration yet; it started {}", facts.ended->vm,
                       when(facts, *facts.started));
}

std::string explain_no_configuration(const request_facts& facts)
{
    return facts.ended->vm + " had no configuration; its start is not in these logs";
}

std::string explain_wrong_server(const request_facts& facts)
{
    const auto wrong = std::find_if(facts.attempts.begin(), facts.attempts.end(), is_misdirected);
    return "another server than the listed one had the address: " + describe(*wrong);
}

std::string explain_no_server(const request_facts& facts)
{
    return fmt::format("no server of service {} could be used at {}; lines in the seconds before "
                       "that a server or data centre became unavailable: {}",
                       facts.service, facts.ended->vm, facts.unavailable.size());
}

std::string explain_overloaded(const request_facts& facts)
{
    const auto refused =
        std::count_if(facts.attempts.begin(), facts.attempts.end(),
                      [](const attempt_facts& attempt) { return attempt.end == "not_run"; });
    return fmt::format("the servers of service {} responded, and none had capacity; {} attempts "
                       "were refused; lines in the seconds before that a server or data centre "
                       "became unavailable: {}",
                       facts.service, refused, facts.unavailable.size());
}

std::string explain_stopping(const request_facts& facts)
{
    return facts.ended->vm + " was about to exit" +
           (facts.stopping == nullptr ? "; the line of its stop is not in these logs"
                                      : ", stopping since " + when(facts, *facts.stopping));
}

std::string explain_expired(const request_facts& facts)
{
    return fmt::format("the deadline passed {} after the arrival, before the request was sent",
                       milliseconds(facts.duration));
}

std::string explain_leaving_server(const request_facts& facts)
{
    const attempt_facts& attempt = *lost_attempt(facts);
    return fmt::format("server {} was leaving ({} at {} {}): {}", attempt.server,
                       attempt.leaving->kind == "removed" ? "removed" : "draining",
                       attempt.leaving->vm, when(facts, *attempt.leaving), describe(attempt));
}

std::string explain_failed_server(const request_facts& facts)
{
    const attempt_facts& attempt = *lost_attempt(facts);
    return fmt::format("server {} had failed ({} at {} {}): {}", attempt.server,
                       text_field(attempt.failed->fields, "why"), attempt.failed->vm,
                       when(facts, *attempt.failed), describe(attempt));
}

std::string explain_broken(const request_facts& facts)
{
    return "the connection ended before the response: " + describe_deciding(facts);
}

std::string explain_unusable_answer(const request_facts& facts)
{
    return "the response was not usable: " + describe_deciding(facts);
}

std::string explain_slow_server(const request_facts& facts)
{
    const attempt_facts& attempt = *lost_attempt(facts);
    return fmt::format("server {} was slow or full when it was selected ({}): {}", attempt.server,
                       describe_reading(attempt), describe(attempt));
}

std::string explain_no_response(const request_facts& facts)
{
    const attempt_facts& attempt = *lost_attempt(facts);
    return fmt::format("server {} did not respond in time, although it had capacity when it was "
                       "selected ({}): {}",
                       attempt.server, describe_reading(attempt), describe(attempt));
}

std::string explain_deadline(const request_facts& facts)
{
    return fmt::format("the request ended as {} after {}; its line names no attempt that failed",
                       facts.outcome, milliseconds(facts.duration));
}

std::string explain_caller_gone(const request_facts& facts)
{
    return fmt::format("the caller disconnected {} after the arrival; {}",
                       milliseconds(facts.duration), describe_deciding(facts));
}

std::string explain_invalid_request(const request_facts& facts)
{
    return fmt::format("the request itself was refused as {}", facts.outcome);
}

std::string explain_unknown_outcome(const request_facts& facts)
{
    return fmt::format("no rule explains the outcome {}", facts.outcome);
}

} // namespace zinniaferry::explain
