#include "load/record_check.hpp"

#include "load/record_line.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace zinniaferry::load
{

namespace
{

namespace json = boost::json;

void check_request(check_result& result, const std::string& id, const request_observation& request)
{
    if (!request.recorded)
    {
        add_violation(result.examples, result.unrecorded,
                      "request executed but not recorded: " + id);
    }
    if (request.executions > 1 && request.idempotent)
    {
        result.idempotent_repeats += request.executions - 1;
    }
    else if (request.executions > 1)
    {
        add_violation(result.examples, result.repeated_requests,
                      "request executed more than once: " + id);
    }
    if (request.not_run && request.executions > 0)
    {
        add_violation(result.examples, result.executed_not_run,
                      "request recorded as not_run but executed: " + id);
    }
    if (request.answered && request.executions == 0)
    {
        add_violation(result.examples, result.answered_unexecuted,
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
            add_violation(result.examples, result.repeated_keys,
                          "idempotency key executed more than once: " + key.second);
        }
    }
    for (const auto& [request_id, caller_ids] : history.caller_ids_by_request_id)
    {
        if (caller_ids.size() > 1)
        {
            add_violation(result.examples, result.shared_request_ids,
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
