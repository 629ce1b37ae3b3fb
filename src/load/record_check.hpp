/// Compares callers' records with servers' execution logs.
#pragma once

#include "core/error.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::load
{

/// What is known of one request id of a caller.
struct request_observation
{
    bool recorded = false;
    bool idempotent = false;
    bool not_run = false;
    bool answered = false;
    std::uint64_t executions = 0;
};

struct run_history
{
    std::map<std::string, request_observation, std::less<>> requests;
    /// Executions by account and idempotency key.
    std::map<std::pair<std::string, std::string>, std::uint64_t> executions_by_key;
    /// The callers' requests to which a daemon gave one request id.
    std::map<std::string, std::vector<std::string>, std::less<>> callers_by_request_id;
    std::uint64_t records = 0;
    std::uint64_t executions = 0;
    std::uint64_t key_headers = 0;
};

struct check_result
{
    std::uint64_t records = 0;
    std::uint64_t executions = 0;
    std::uint64_t repeated_keys = 0;       ///< Idempotency keys that were executed more than once.
    std::uint64_t repeated_requests = 0;   ///< Requests, not idempotent, executed more than once.
    std::uint64_t shared_request_ids = 0;  ///< Request ids given to more than one caller's request.
    std::uint64_t executed_not_run = 0;    ///< Records with outcome not_run that were executed.
    std::uint64_t answered_unexecuted = 0; ///< Answered records that no server executed.
    std::uint64_t unrecorded = 0;          ///< Executions that no caller recorded.
    std::uint64_t key_headers = 0;         ///< Executions that saw an account's key.
    std::uint64_t idempotent_repeats = 0;  ///< Further executions of idempotent requests; allowed.
    std::vector<std::string> examples;     ///< The first violations, one line each.
};

/// Adds one line of a record file, or of an execution log. Error: document_error with the path of
/// the field. Not thread safe.
core::result<void> add_record(run_history& history, std::string_view line, const std::string& file);
core::result<void> add_execution(run_history& history, std::string_view line, const std::string& file);

/// Returns what the evidence shows.
check_result check_history(const run_history& history);

/// Returns the number of violations.
std::uint64_t violation_count(const check_result& result);

boost::json::object to_json(const check_result& result);

} // namespace zinniaferry::load
