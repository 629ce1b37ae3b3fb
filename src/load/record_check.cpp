#include "load/record_check.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace zinniaferry::load
{

namespace
{

namespace json = boost::json;

constexpr std::size_t max_examples = 10;

core::result<json::object> parse_line(std::string_view line, const std::string& file)
{
    json::error_code error;
    json::value value = json::parse(json::string_view(line.data(), line.size()), error);
    if (error || !value.is_object())
    {
        return boost::leaf::new_error(core::document_error{.file = file,
                                                           .path = "$",
                                                           .value = std::string(line.substr(0, 80)),
                                                           .expected = "a JSON object per line"});
    }
    return std::move(value.get_object());
}

boost::leaf::error_id wrong_field(const std::string& file, const char* key, const char* expected,
                                  const json::object& line)
{
    return boost::leaf::new_error(core::document_error{.file = file,
                                                       .path = std::string("$.") + key,
                                                       .value = json::serialize(line),
                                                       .expected = expected});
}

core::result<std::string> read_text(const json::object& line, const char* key,
                                    const std::string& file)
{
    const json::value* value = line.if_contains(key);
    if (value == nullptr || !value->is_string())
    {
        return wrong_field(file, key, "a text", line);
    }
    return std::string(value->get_string());
}

core::result<bool> read_bool(const json::object& line, const char* key, const std::string& file)
{
    const json::value* value = line.if_contains(key);
    if (value == nullptr || !value->is_bool())
    {
        return wrong_field(file, key, "true or false", line);
    }
    return value->get_bool();
}

void note(findings& found, std::uint64_t& count, const std::string& what)
{
    ++count;
    if (found.examples.size() < max_examples)
    {
        found.examples.push_back(what);
    }
}

void judge_request(findings& found, const std::string& id, const request_evidence& request)
{
    if (!request.recorded)
    {
        note(found, found.unrecorded, "executed without a record: " + id);
    }
    if (request.executions > 1 && request.idempotent)
    {
        found.idempotent_repeats += request.executions - 1;
    }
    else if (request.executions > 1)
    {
        note(found, found.repeated_requests, "request executed more than once: " + id);
    }
    if (request.not_run && request.executions > 0)
    {
        note(found, found.executed_not_run, "said not run, but executed: " + id);
    }
    if (request.answered && request.executions == 0)
    {
        note(found, found.answered_unexecuted, "answered, but never executed: " + id);
    }
}

} // namespace

core::result<void> add_record(evidence& seen, std::string_view line, const std::string& file)
{
    BOOST_LEAF_AUTO(object, parse_line(line, file));
    BOOST_LEAF_AUTO(id, read_text(object, "id", file));
    BOOST_LEAF_AUTO(outcome, read_text(object, "outcome", file));
    BOOST_LEAF_AUTO(idempotent, read_bool(object, "idempotent", file));
    request_evidence& request = seen.requests[id];
    if (request.recorded)
    {
        return wrong_field(file, "id", "an id that is recorded once", object);
    }
    request.recorded = true;
    request.idempotent = idempotent;
    request.not_run = outcome == "not_run";
    request.answered = outcome == "answered";
    ++seen.records;
    return {};
}

core::result<void> add_execution(evidence& seen, std::string_view line, const std::string& file)
{
    BOOST_LEAF_AUTO(object, parse_line(line, file));
    BOOST_LEAF_AUTO(caller_id, read_text(object, "caller_id", file));
    BOOST_LEAF_AUTO(request_id, read_text(object, "request_id", file));
    BOOST_LEAF_AUTO(key, read_text(object, "idempotency_key", file));
    BOOST_LEAF_AUTO(account, read_text(object, "account", file));
    BOOST_LEAF_AUTO(key_header, read_bool(object, "key_header", file));
    ++seen.executions;
    ++seen.requests[caller_id].executions;
    seen.key_headers += key_header ? 1 : 0;
    if (!key.empty())
    {
        ++seen.keys[{account, key}];
    }
    if (!request_id.empty())
    {
        auto& callers = seen.callers_of_request_id[request_id];
        if (std::find(callers.begin(), callers.end(), caller_id) == callers.end())
        {
            callers.push_back(caller_id);
        }
    }
    return {};
}

findings judge(const evidence& seen)
{
    findings found{
        .records = seen.records, .executions = seen.executions, .key_headers = seen.key_headers};
    for (const auto& [id, request] : seen.requests)
    {
        judge_request(found, id, request);
    }
    for (const auto& [key, executions] : seen.keys)
    {
        if (executions > 1)
        {
            note(found, found.repeated_keys, "key executed more than once: " + key.second);
        }
    }
    for (const auto& [request_id, callers] : seen.callers_of_request_id)
    {
        if (callers.size() > 1)
        {
            note(found, found.shared_request_ids, "request id given twice: " + request_id);
        }
    }
    return found;
}

std::uint64_t violations(const findings& found)
{
    return found.repeated_keys + found.repeated_requests + found.shared_request_ids +
           found.executed_not_run + found.answered_unexecuted + found.unrecorded +
           found.key_headers;
}

json::object to_json(const findings& found)
{
    return {{"records", found.records},
            {"executions", found.executions},
            {"repeated_keys", found.repeated_keys},
            {"repeated_requests", found.repeated_requests},
            {"shared_request_ids", found.shared_request_ids},
            {"executed_not_run", found.executed_not_run},
            {"answered_unexecuted", found.answered_unexecuted},
            {"unrecorded", found.unrecorded},
            {"key_headers", found.key_headers},
            {"idempotent_repeats", found.idempotent_repeats},
            {"violations", violations(found)},
            {"examples", json::value_from(found.examples)}};
}

} // namespace zinniaferry::load
