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

boost::leaf::error_id invalid_field_error(const std::string& file, const char* key,
                                          const char* expected, const json::object& line)
{
    return boost::leaf::new_error(core::document_error{.file = file,
                                                       .path = std::string("$.") + key,
                                                       .value = json::serialize(line),
                                                       .expected = expected});
}

core::result<std::string> read_string(const json::object& line, const char* key,
                                      const std::string& file)
{
    const json::value* value = line.if_contains(key);
    if (value == nullptr || !value->is_string())
    {
        return invalid_field_error(file, key, "a string", line);
    }
    return std::string(value->get_string());
}

core::result<bool> read_bool(const json::object& line, const char* key, const std::string& file)
{
    const json::value* value = line.if_contains(key);
    if (value == nullptr || !value->is_bool())
    {
        return invalid_field_error(file, key, "true or false", line);
    }
    return value->get_bool();
}

void add_violation(check_result& result, std::uint64_t& count, const std::string& description)
{
    ++count;
    if (result.examples.size() < max_examples)
    {
        result.examples.push_back(description);
    }
}

void check_request(check_result& result, const std::string& id, const request_observation& request)
{
    if (!request.recorded)
    {
        add_violation(result, result.unrecorded, "request executed but not recorded: " + id);
    }
    if (request.executions > 1 && request.idempotent)
    {
        result.idempotent_repeats += request.executions - 1;
    }
    else if (request.executions > 1)
    {
        add_violation(result, result.repeated_requests, "request executed more than once: " + id);
    }
    if (request.not_run && request.executions > 0)
    {
        add_violation(result, result.executed_not_run,
                      "request recorded as not_run but executed: " + id);
    }
    if (request.answered && request.executions == 0)
    {
        add_violation(result, result.answered_unexecuted,
                      "request answered but not executed: " + id);
    }
}

} // namespace

core::result<void> add_record(run_history& history, std::string_view line, const std::string& file)
{
    BOOST_LEAF_AUTO(object, parse_line(line, file));
    BOOST_LEAF_AUTO(id, read_string(object, "id", file));
    BOOST_LEAF_AUTO(outcome, read_string(object, "outcome", file));
    BOOST_LEAF_AUTO(idempotent, read_bool(object, "idempotent", file));
    request_observation& request = history.requests[id];
    if (request.recorded)
    {
        return invalid_field_error(file, "id", "an id that no earlier record has", object);
    }
    request.recorded = true;
    request.idempotent = idempotent;
    request.not_run = outcome == "not_run";
    request.answered = outcome == "answered";
    ++history.records;
    return {};
}

core::result<void> add_execution(run_history& history, std::string_view line,
                                 const std::string& file)
{
    BOOST_LEAF_AUTO(object, parse_line(line, file));
    BOOST_LEAF_AUTO(caller_id, read_string(object, "caller_id", file));
    BOOST_LEAF_AUTO(request_id, read_string(object, "request_id", file));
    BOOST_LEAF_AUTO(key, read_string(object, "idempotency_key", file));
    BOOST_LEAF_AUTO(account, read_string(object, "account", file));
    BOOST_LEAF_AUTO(key_header, read_bool(object, "key_header", file));
    ++history.executions;
    ++history.requests[caller_id].executions;
    history.key_headers += key_header ? 1 : 0;
    if (!key.empty())
    {
        ++history.executions_by_key[{account, key}];
    }
    if (!request_id.empty())
    {
        auto& caller_ids = history.caller_ids_by_request_id[request_id];
        if (std::find(caller_ids.begin(), caller_ids.end(), caller_id) == caller_ids.end())
        {
            caller_ids.push_back(caller_id);
        }
    }
    return {};
}

check_result check_history(const run_history& history)
{
    check_result result{.records = history.records,
                        .executions = history.executions,
                        .key_headers = history.key_headers};
    for (const auto& [id, request] : history.requests)
    {
        check_request(result, id, request);
    }
    for (const auto& [key, executions] : history.executions_by_key)
    {
        if (executions > 1)
        {
            add_violation(result, result.repeated_keys,
                          "idempotency key executed more than once: " + key.second);
        }
    }
    for (const auto& [request_id, caller_ids] : history.caller_ids_by_request_id)
    {
        if (caller_ids.size() > 1)
        {
            add_violation(result, result.shared_request_ids,
                          "daemon request id assigned to more than one request: " + request_id);
        }
    }
    return result;
}

std::uint64_t violation_count(const check_result& result)
{
    return result.repeated_keys + result.repeated_requests + result.shared_request_ids +
           result.executed_not_run + result.answered_unexecuted + result.unrecorded +
           result.key_headers;
}

json::object to_json(const check_result& result)
{
    return {{"records", result.records},
            {"executions", result.executions},
            {"repeated_keys", result.repeated_keys},
            {"repeated_requests", result.repeated_requests},
            {"shared_request_ids", result.shared_request_ids},
            {"executed_not_run", result.executed_not_run},
            {"answered_unexecuted", result.answered_unexecuted},
            {"unrecorded", result.unrecorded},
            {"key_headers", result.key_headers},
            {"idempotent_repeats", result.idempotent_repeats},
            {"violations", violation_count(result)},
            {"examples", json::value_from(result.examples)}};
}

} // namespace zinniaferry::load
