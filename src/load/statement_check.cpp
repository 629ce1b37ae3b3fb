#include "load/statement_check.hpp"

#include "load/record_line.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <tuple>

namespace zinniaferry::load
{

namespace
{

namespace json = boost::json;

constexpr std::int64_t misdirected_status = 421;

// A received request with its caller's record.
struct attributed_request
{
    const received_request* received = nullptr;
    const caller_request* caller = nullptr;
};

// The requests that one daemon sent to one lifetime of a server, in the order of their arrival.
using request_stream = std::vector<attributed_request>;

// Daemon, server and lifetime.
using stream_key = std::tuple<std::string, std::string, std::int64_t>;

core::result<std::optional<core::duration>> read_retry_after(const json::object& line,
                                                             const std::string& file)
{
    const json::value* value = line.if_contains("retry_after_s");
    if (value == nullptr || !(value->is_null() || value->is_number()))
    {
        return invalid_field_error(file, "retry_after_s", "a number or null", line);
    }
    if (value->is_null())
    {
        return std::optional<core::duration>();
    }
    return std::optional(core::from_seconds(value->to_number<double>()));
}

bool passed_on_leaving(const attributed_request& request)
{
    return request.received->leaving && request.received->status < 300 &&
           request.caller->answered_by == request.received->server;
}

bool is_interrupted(const std::vector<unix_microseconds>& interruptions, unix_microseconds from,
                    unix_microseconds until)
{
    return std::any_of(interruptions.begin(), interruptions.end(),
                       [&](unix_microseconds at) { return at >= from && at <= until; });
}

void check_leaving(statement_result& result, const request_stream& stream,
                   const std::vector<unix_microseconds>& interruptions)
{
    std::vector<unix_microseconds> passed_on;
    for (const attributed_request& request : stream)
    {
        if (passed_on_leaving(request))
        {
            passed_on.push_back(request.caller->ended);
        }
    }
    result.leaving_passed_on += passed_on.size();
    for (const attributed_request& request : stream)
    {
        const auto is_bound_by = [&](unix_microseconds said)
        {
            return request.caller->sent > said + leave_bound &&
                   !is_interrupted(interruptions, said, request.received->received);
        };
        if (std::any_of(passed_on.begin(), passed_on.end(), is_bound_by))
        {
            add_violation(result.examples, result.after_leaving,
                          "request reached a server that leaves: " + request.received->caller_id +
                              " at " + request.received->server + " through " +
                              request.caller->daemon);
        }
    }
}

// Marks the requests beyond the permitted ones that arrived in the pause that `answer` asked for.
void mark_excess_requests(const received_request& answer, const request_stream& stream,
                          const std::vector<unix_microseconds>& interruptions,
                          std::vector<bool>& excess)
{
    const auto pause_start = answer.ended + pause_bound;
    const auto pause_end = answer.ended + *answer.retry_after;
    std::uint64_t in_pause = 0;
    for (std::size_t i = 0; i < stream.size(); ++i)
    {
        const unix_microseconds arrived = stream[i].received->received;
        if (arrived <= pause_start || arrived >= pause_end ||
            is_interrupted(interruptions, answer.ended, arrived))
        {
            continue;
        }
        ++in_pause;
        excess[i] = excess[i] || in_pause > max_requests_in_pause;
    }
}

void check_pauses(statement_result& result, const request_stream& stream,
                  const std::vector<unix_microseconds>& interruptions)
{
    std::vector<bool> excess(stream.size());
    for (const attributed_request& request : stream)
    {
        if (request.received->retry_after)
        {
            ++result.pauses;
            mark_excess_requests(*request.received, stream, interruptions, excess);
        }
    }
    for (std::size_t i = 0; i < stream.size(); ++i)
    {
        if (excess[i])
        {
            const attributed_request& request = stream[i];
            add_violation(result.examples, result.in_pause,
                          "request reached a server in its pause: " + request.received->caller_id +
                              " at " + request.received->server + " through " +
                              request.caller->daemon);
        }
    }
}

// Groups the requests that reached the server to which they were sent.
std::map<stream_key, request_stream> make_streams(const exchange_history& history,
                                                  statement_result& result)
{
    std::map<stream_key, request_stream> streams;
    for (const received_request& received : history.received)
    {
        const auto caller = history.requests.find(received.caller_id);
        if (caller == history.requests.end())
        {
            add_violation(result.examples, result.unattributed,
                          "request received but not recorded: " + received.caller_id);
        }
        else if (received.status != misdirected_status)
        {
            const stream_key key(caller->second.daemon, received.server, received.lifetime);
            streams[key].push_back({.received = &received, .caller = &caller->second});
        }
    }
    for (auto& [key, stream] : streams)
    {
        std::stable_sort(stream.begin(), stream.end(),
                         [](const attributed_request& a, const attributed_request& b)
                         { return a.received->received < b.received->received; });
    }
    return streams;
}

} // namespace

core::result<void> add_caller_request(exchange_history& history, std::string_view line,
                                      const std::string& file)
{
    BOOST_LEAF_AUTO(object, parse_line(line, file));
    BOOST_LEAF_AUTO(id, read_string(object, "id", file));
    caller_request request;
    BOOST_LEAF_ASSIGN(request.daemon, read_string(object, "daemon", file));
    BOOST_LEAF_ASSIGN(request.answered_by, read_string(object, "server", file));
    BOOST_LEAF_AUTO(sent_us, read_integer(object, "sent_us", file));
    BOOST_LEAF_AUTO(ended_us, read_integer(object, "ended_us", file));
    request.sent = unix_microseconds(sent_us);
    request.ended = unix_microseconds(ended_us);
    history.requests[id] = std::move(request);
    return {};
}

core::result<void> add_exchange(exchange_history& history, std::string_view line,
                                const std::string& file)
{
    BOOST_LEAF_AUTO(object, parse_line(line, file));
    BOOST_LEAF_AUTO(kind, read_string(object, "kind", file));
    if (kind == "health_check")
    {
        ++history.health_checks;
        return {};
    }
    if (kind != "work")
    {
        return invalid_field_error(file, "kind", "work or health_check", object);
    }
    received_request request;
    BOOST_LEAF_ASSIGN(request.caller_id, read_string(object, "caller_id", file));
    BOOST_LEAF_ASSIGN(request.server, read_string(object, "server", file));
    BOOST_LEAF_ASSIGN(request.lifetime, read_integer(object, "lifetime", file));
    BOOST_LEAF_AUTO(received_us, read_integer(object, "received_us", file));
    BOOST_LEAF_AUTO(ended_us, read_integer(object, "ended_us", file));
    request.received = unix_microseconds(received_us);
    request.ended = unix_microseconds(ended_us);
    BOOST_LEAF_ASSIGN(request.status, read_integer(object, "status", file));
    BOOST_LEAF_ASSIGN(request.leaving, read_bool(object, "leaving", file));
    BOOST_LEAF_ASSIGN(request.retry_after, read_retry_after(object, file));
    history.received.push_back(std::move(request));
    return {};
}

statement_result check_statements(const exchange_history& history)
{
    statement_result result{.received = history.received.size(),
                            .health_checks = history.health_checks};
    static const std::vector<unix_microseconds> none;
    for (const auto& [key, stream] : make_streams(history, result))
    {
        const auto found = history.interruptions.find(std::get<0>(key));
        const auto& interruptions = found == history.interruptions.end() ? none : found->second;
        check_leaving(result, stream, interruptions);
        check_pauses(result, stream, interruptions);
    }
    return result;
}

std::uint64_t violation_count(const statement_result& result)
{
    return result.after_leaving + result.in_pause + result.unattributed;
}

json::object to_json(const statement_result& result)
{
    return {{"received", result.received},
            {"health_checks", result.health_checks},
            {"leaving_passed_on", result.leaving_passed_on},
            {"pauses", result.pauses},
            {"after_leaving", result.after_leaving},
            {"in_pause", result.in_pause},
            {"unattributed", result.unattributed},
            {"violations", violation_count(result)},
            {"examples", json::value_from(result.examples)}};
}

} // namespace zinniaferry::load
