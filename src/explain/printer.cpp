#include "explain/printer.hpp"

#include <boost/json/serialize.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

namespace zinniaferry::explain
{

namespace
{

namespace json = boost::json;

double offset_ms(const request_facts& facts, const log_line& line)
{
    return core::to_milliseconds(line.time - facts.arrived_at);
}

// Returns whether a field is printed apart from the others.
bool is_printed_apart(std::string_view name)
{
    constexpr std::array<std::string_view, 6> names = {"time", "vm",      "part",
                                                       "kind", "request", "attempts"};
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string print_fields(const json::object& fields)
{
    std::string out;
    for (const auto& [key, value] : fields)
    {
        const std::string_view name(key.data(), key.size());
        if (!is_printed_apart(name))
        {
            out += value.is_double() ? fmt::format(" {}={:.6g}", name, value.get_double())
                                     : fmt::format(" {}={}", name, json::serialize(value));
        }
    }
    return out;
}

std::string print_attempts(const request_facts& facts)
{
    std::string out;
    const json::value* attempts = facts.ended->fields.if_contains("attempts");
    if (attempts == nullptr || !attempts->is_array())
    {
        return out;
    }
    for (const json::value& attempt : attempts->get_array())
    {
        if (const json::object* fields = attempt.if_object())
        {
            out += "attempt:" + print_fields(*fields) + "\n";
        }
    }
    return out;
}

std::string print_request(const std::string& request_id, const request_facts& facts)
{
    const cause found = find_cause(facts);
    std::string out =
        fmt::format("request {} at {}: {}, status {}, after {:.1f} ms\ncause: {}: {}\n", request_id,
                    facts.ended->vm, facts.outcome, facts.status,
                    core::to_milliseconds(facts.duration), found.name, found.text);
    out += "evidence, ms since the arrival:\n";
    for (const log_line* line : facts.evidence)
    {
        out += fmt::format("{:>12.1f} {} {} {}{}\n", offset_ms(facts, *line), line->vm, line->part,
                           line->kind, print_fields(line->fields));
    }
    return out + print_attempts(facts);
}

json::object describe_request(const request_facts& facts)
{
    const cause found = find_cause(facts);
    json::array evidence;
    for (const log_line* line : facts.evidence)
    {
        json::object entry = line->fields;
        entry["ms_since_arrival"] = offset_ms(facts, *line);
        evidence.push_back(std::move(entry));
    }
    return {{"vm", facts.ended->vm},
            {"outcome", facts.outcome},
            {"status", facts.status},
            {"ms", core::to_milliseconds(facts.duration)},
            {"cause", found.name},
            {"explanation", found.text},
            {"evidence", std::move(evidence)}};
}

} // namespace

request_account explain_request(const log_lines& log, std::string request_id)
{
    std::vector<request_facts> requests = join_request(log, request_id);
    return {.request_id = std::move(request_id),
            .requests = std::move(requests),
            .unread_lines = log.unread_lines,
            .suppressed_requests = log.suppressed_requests};
}

std::string to_text(const request_account& account)
{
    std::string out;
    for (const request_facts& facts : account.requests)
    {
        out += print_request(account.request_id, facts);
    }
    if (account.requests.empty())
    {
        out += fmt::format("request {} is not in these logs; {} lines of requests were not "
                           "written\n",
                           account.request_id, account.suppressed_requests);
    }
    out += fmt::format("lines not read: {}\n", account.unread_lines);
    return out;
}

json::object to_json(const request_account& account)
{
    json::array requests;
    for (const request_facts& facts : account.requests)
    {
        requests.push_back(describe_request(facts));
    }
    return {{"request", account.request_id},
            {"found", !account.requests.empty()},
            {"requests", std::move(requests)},
            {"unread_lines", account.unread_lines},
            {"suppressed_request_lines", account.suppressed_requests}};
}

} // namespace zinniaferry::explain
