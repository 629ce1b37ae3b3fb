#include "explain/request_facts.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace zinniaferry::explain
{

namespace
{

namespace json = boost::json;

/// Lines before the request and after its end that may concern it. A server's state
/// is published seconds late.
constexpr core::duration lines_before = std::chrono::seconds(5);
constexpr core::duration lines_after = std::chrono::seconds(3);

std::string server_of(const log_line& line)
{
    return line.part == "servers" ? text_field(line.fields, "server") : std::string();
}

bool is_platform_part(const log_line& line)
{
    return line.part == "store" || line.part == "platform";
}

attempt_facts read_attempt(const json::object& fields)
{
    return {.server = text_field(fields, "server"),
            .end = text_field(fields, "end"),
            .status = count_field(fields, "status"),
            .sent_after = duration_field(fields, "sent_ms").value_or(core::duration()),
            .duration = duration_field(fields, "ms").value_or(core::duration()),
            .slowdown = number_field(fields, "slowdown"),
            .running = number_field(fields, "running"),
            .waiting = number_field(fields, "waiting"),
            .slots = number_field(fields, "slots"),
            .reading_age = duration_field(fields, "reading_age_ms")};
}

std::vector<attempt_facts> read_attempts(const json::object& fields)
{
    std::vector<attempt_facts> out;
    const json::value* attempts = fields.if_contains("attempts");
    if (attempts == nullptr || !attempts->is_array())
    {
        return out;
    }
    for (const json::value& attempt : attempts->get_array())
    {
        if (const json::object* object = attempt.if_object())
        {
            out.push_back(read_attempt(*object));
        }
    }
    return out;
}

request_facts read_request(const log_line& line)
{
    const json::object& fields = line.fields;
    const core::duration duration = duration_field(fields, "ms").value_or(core::duration());
    return {.ended = &line,
            .arrived_at = line.time - duration,
            .duration = duration,
            .outcome = text_field(fields, "outcome"),
            .status = count_field(fields, "status"),
            .version = count_field(fields, "version"),
            .configuration_age = duration_field(fields, "configuration_age_ms"),
            .account = text_field(fields, "account"),
            .service = text_field(fields, "service"),
            .rate_decided_by = text_field(fields, "rate_decided_by"),
            .host = text_field(fields, "host"),
            .path = text_field(fields, "path"),
            .attempts = read_attempts(fields)};
}

// Forgets what an earlier process of the VM had logged.
void apply_start(request_facts& facts, const log_line& line)
{
    facts.started = &line;
    facts.ready = nullptr;
    facts.stopping = nullptr;
    facts.in_force = nullptr;
    facts.hub = nullptr;
    facts.late_hub = nullptr;
}

void apply_hub_line(request_facts& facts, const log_line& line)
{
    const std::string address = text_field(line.fields, "address");
    const bool is_of_late_hub =
        facts.late_hub != nullptr && text_field(facts.late_hub->fields, "address") == address;
    if (line.kind == "hub_chosen")
    {
        facts.hub = &line;
    }
    else if (line.kind == "updates_late")
    {
        facts.late_hub = &line;
    }
    else if (is_of_late_hub && (line.kind == "updates_in_time" || line.kind == "hub_left"))
    {
        facts.late_hub = nullptr;
    }
}

// Applies a line that the request's VM wrote before the request ended.
void apply_own_line(request_facts& facts, const log_line& line)
{
    if (is_event(line, "daemon", "started"))
    {
        apply_start(facts, line);
    }
    else if (is_event(line, "daemon", "ready"))
    {
        facts.ready = &line;
    }
    else if (is_event(line, "daemon", "stopping"))
    {
        facts.stopping = &line;
    }
    else if (is_event(line, "configuration", "in_force"))
    {
        facts.in_force = &line;
    }
    else if (line.part == "peers")
    {
        apply_hub_line(facts, line);
    }
}

// Returns whether a line that was written after the request tells of a time before the request
// ended, by the duration that its field states.
bool covers(const log_line& line, std::string_view field, const request_facts& facts)
{
    const std::optional<core::duration> duration = duration_field(line.fields, field);
    return duration && line.time > facts.ended->time && line.time - *duration <= facts.ended->time;
}

// A delay is logged only when the late update, or the failure of the call, has come.
void find_delays_noticed_later(request_facts& facts, const log_lines& log)
{
    for (const log_line& line : log.lines)
    {
        if (line.vm != facts.ended->vm)
        {
            continue;
        }
        if (facts.late_hub == nullptr && is_event(line, "peers", "updates_late") &&
            covers(line, "delay_ms", facts))
        {
            facts.late_hub = &line;
        }
        if (facts.platform_lost == nullptr && is_platform_part(line) && line.kind == "lost" &&
            covers(line, "silent_ms", facts))
        {
            facts.platform_lost = &line;
        }
    }
}

// Finds the platform's last known state at each VM when the request ended.
void find_platform_lost(request_facts& facts, const log_lines& log)
{
    std::map<std::string, const log_line*> lost_at;
    for (const log_line& line : log.lines)
    {
        if (line.time > facts.ended->time)
        {
            break;
        }
        if (is_platform_part(line) && line.kind == "lost")
        {
            lost_at[line.vm] = &line;
        }
        else if ((is_platform_part(line) && line.kind != "unreadable") ||
                 is_event(line, "daemon", "started"))
        {
            lost_at.erase(line.vm);
        }
    }
    const auto own = lost_at.find(facts.ended->vm);
    const auto chosen = own == lost_at.end() ? lost_at.begin() : own;
    facts.platform_lost = chosen == lost_at.end() ? nullptr : chosen->second;
}

void find_versions(request_facts& facts, const log_lines& log)
{
    if (facts.version == 0 && facts.in_force != nullptr)
    {
        facts.version = count_field(facts.in_force->fields, "version");
    }
    for (const log_line& line : log.lines)
    {
        if (!is_event(line, "configuration", "in_force"))
        {
            continue;
        }
        const bool is_newer =
            facts.version > 0 && count_field(line.fields, "version") > facts.version;
        const bool is_after = line.time > facts.ended->time;
        if (is_newer && !is_after && facts.newer_version == nullptr)
        {
            facts.newer_version = &line;
        }
        if (is_newer && is_after && line.vm == facts.ended->vm && facts.next_version == nullptr)
        {
            facts.next_version = &line;
        }
    }
}

// Finds the first lines, of any VM, that the server of an attempt was leaving or unusable. A later
// listing or trial that passed before the attempt was sent makes them void for its VM.
void find_server_state(attempt_facts& attempt, const request_facts& facts, const log_lines& log)
{
    const wall_time sent_at = facts.arrived_at + attempt.sent_after;
    std::map<std::string, const log_line*> leaving;
    std::map<std::string, const log_line*> failed;
    for (const log_line& line : log.lines)
    {
        if (line.time < sent_at - lines_before || server_of(line) != attempt.server)
        {
            continue;
        }
        if (line.time > facts.ended->time + lines_after)
        {
            break;
        }
        if (is_leaving_line(line))
        {
            leaving.try_emplace(line.vm, &line);
        }
        else if (line.kind == "unusable")
        {
            failed.try_emplace(line.vm, &line);
        }
        else if (line.time <= sent_at)
        {
            failed.erase(line.vm);
            if (line.kind == "listed")
            {
                leaving.erase(line.vm);
            }
        }
    }
    const auto first = [](const std::map<std::string, const log_line*>& by_vm) -> const log_line*
    {
        const auto found = std::min_element(by_vm.begin(), by_vm.end(),
                                            [](const auto& a, const auto& b)
                                            { return a.second->time < b.second->time; });
        return found == by_vm.end() ? nullptr : found->second;
    };
    attempt.leaving = first(leaving);
    attempt.failed = first(failed);
}

// Returns the service of each server that is listed anywhere in the log.
std::map<std::string, std::string> services_by_server(const log_lines& log)
{
    std::map<std::string, std::string> out;
    for (const log_line& line : log.lines)
    {
        if (is_event(line, "servers", "listed"))
        {
            out[server_of(line)] = text_field(line.fields, "service");
        }
    }
    return out;
}

// Finds the servers and data centres that the VM lost shortly before the request ended.
void find_unavailable(request_facts& facts, const log_lines& log)
{
    if (facts.service.empty())
    {
        return;
    }
    const std::map<std::string, std::string> services = services_by_server(log);
    const auto is_of_service = [&](const log_line& line)
    {
        const auto service = services.find(server_of(line));
        return text_field(line.fields, "service") == facts.service ||
               (service != services.end() && service->second == facts.service);
    };
    for (const log_line& line : log.lines)
    {
        const bool is_recent =
            line.time >= facts.ended->time - lines_before && line.time <= facts.ended->time;
        if (!is_recent || line.vm != facts.ended->vm || line.part != "servers")
        {
            continue;
        }
        const bool is_server_lost = is_leaving_line(line) || line.kind == "unusable";
        if (line.kind == "data_centre_out" || (is_server_lost && is_of_service(line)))
        {
            facts.unavailable.push_back(&line);
        }
    }
}

// Adds the VM's lines about the server of an attempt: the last before it was sent, and all until
// shortly after the request.
void add_server_lines(std::vector<const log_line*>& out, const attempt_facts& attempt,
                      const request_facts& facts, const log_lines& log)
{
    const log_line* last_before = nullptr;
    for (const log_line& line : log.lines)
    {
        if (line.vm != facts.ended->vm || server_of(line) != attempt.server)
        {
            continue;
        }
        if (line.time <= facts.arrived_at + attempt.sent_after)
        {
            last_before = &line;
        }
        else if (line.time <= facts.ended->time + lines_after)
        {
            out.push_back(&line);
        }
    }
    out.push_back(last_before);
    out.push_back(attempt.leaving);
    out.push_back(attempt.failed);
}

// Adds the VM's last line of each kind about a hub or the platform from shortly before the request
// ended.
void add_recent_links(std::vector<const log_line*>& out, const request_facts& facts,
                      const log_lines& log)
{
    constexpr std::array<std::string_view, 6> kinds = {
        "hub_chosen", "hub_left", "updates_late", "updates_in_time", "lost", "regained"};
    std::map<std::pair<std::string, std::string>, const log_line*> last;
    for (const log_line& line : log.lines)
    {
        const bool is_recent =
            line.time >= facts.arrived_at - lines_before && line.time <= facts.ended->time;
        const bool is_of_link = line.part == "peers" || is_platform_part(line);
        if (line.vm == facts.ended->vm && is_recent && is_of_link &&
            std::find(kinds.begin(), kinds.end(), line.kind) != kinds.end())
        {
            last[{line.kind, text_field(line.fields, "address")}] = &line;
        }
    }
    for (const auto& [key, line] : last)
    {
        out.push_back(line);
    }
}

void collect_evidence(request_facts& facts, const log_lines& log)
{
    std::vector<const log_line*> out = {
        facts.started,  facts.ready,         facts.stopping,      facts.in_force,     facts.hub,
        facts.late_hub, facts.platform_lost, facts.newer_version, facts.next_version, facts.ended};
    for (const attempt_facts& attempt : facts.attempts)
    {
        add_server_lines(out, attempt, facts, log);
    }
    add_recent_links(out, facts, log);
    if (facts.outcome == "no_server" || facts.outcome == "overloaded")
    {
        out.insert(out.end(), facts.unavailable.begin(), facts.unavailable.end());
    }
    // The lines are in one vector in order of time, so that the order of addresses is theirs.
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    out.erase(std::remove(out.begin(), out.end(), nullptr), out.end());
    facts.evidence = std::move(out);
}

request_facts join_line(const log_lines& log, const log_line& ended)
{
    request_facts facts = read_request(ended);
    for (const log_line& line : log.lines)
    {
        if (line.vm == ended.vm && line.time <= ended.time)
        {
            apply_own_line(facts, line);
        }
    }
    find_platform_lost(facts, log);
    find_delays_noticed_later(facts, log);
    find_versions(facts, log);
    for (attempt_facts& attempt : facts.attempts)
    {
        find_server_state(attempt, facts, log);
    }
    find_unavailable(facts, log);
    collect_evidence(facts, log);
    return facts;
}

} // namespace

std::vector<request_facts> join_request(const log_lines& log, std::string_view request_id)
{
    std::vector<request_facts> out;
    for (const log_line& line : log.lines)
    {
        if (line.part == "requests" && text_field(line.fields, "request") == request_id)
        {
            out.push_back(join_line(log, line));
        }
    }
    return out;
}

bool is_leaving_line(const log_line& line)
{
    return is_event(line, "servers", "removed") ||
           (is_event(line, "servers", "listed") && is_field_true(line.fields, "draining"));
}

bool is_event(const log_line& line, std::string_view part, std::string_view kind)
{
    return line.part == part && line.kind == kind;
}

} // namespace zinniaferry::explain
