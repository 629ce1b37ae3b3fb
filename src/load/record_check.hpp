/// Compares the request records of the load generator with the execution logs of the stand-in
/// servers, to find requests that were executed too often, not at all, or contrary to their
/// outcome.
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

/// What the records and execution logs say about one request of the load generator.
struct request_observation
{
    bool recorded = false;        ///< Has a record; the next three fields come from it.
    bool idempotent = false;      ///< Servers may execute it more than once.
    bool not_run = false;         ///< Recorded with the outcome not_run.
    bool answered = false;        ///< Recorded with the outcome answered.
    std::uint64_t executions = 0; ///< Executions in the logs of all servers.
};

/// Everything read from the record files and execution logs of a run.
struct run_history
{
    /// By the id that the load generator gave the request.
    std::map<std::string, request_observation, std::less<>> requests;
    /// Executions by account and idempotency key.
    std::map<std::pair<std::string, std::string>, std::uint64_t> executions_by_key;
    /// Ids of the load generator's requests, by the request id that a daemon assigned.
    std::map<std::string, std::vector<std::string>, std::less<>> caller_ids_by_request_id;
    std::uint64_t records = 0;
    std::uint64_t executions = 0;
    std::uint64_t key_headers = 0; ///< Executions whose request carried an account key.
};

/// Counts of a check. The fields from repeated_keys to key_headers count violations.
struct check_result
{
    std::uint64_t records = 0;
    std::uint64_t executions = 0;
    std::uint64_t repeated_keys = 0;       ///< Idempotency keys executed more than once.
    std::uint64_t repeated_requests = 0;   ///< Non-idempotent requests executed more than once.
    std::uint64_t shared_request_ids = 0;  ///< Daemon request ids assigned to several requests.
    std::uint64_t executed_not_run = 0;    ///< Records with outcome not_run that were executed.
    std::uint64_t answered_unexecuted = 0; ///< Answered records that no server executed.
    std::uint64_t unrecorded = 0;          ///< Executed requests without a record.
    std::uint64_t key_headers = 0;         ///< Executions that received an account key.
    std::uint64_t idempotent_repeats = 0;  ///< Extra executions of idempotent requests; allowed.
    std::vector<std::string> examples;     ///< The first violations, at most 10, a line each.
};

/// Adds one line of a record file, or of an execution log, to the history. Error: document_error
/// with the path of the field. Not thread safe.
core::result<void> add_record(run_history& history, std::string_view line, const std::string& file);
core::result<void> add_execution(run_history& history, std::string_view line,
                                 const std::string& file);

/// Checks the history and counts the violations by kind.
check_result check_history(const run_history& history);

/// Returns the sum of all violations.
std::uint64_t violation_count(const check_result& result);

boost::json::object to_json(const check_result& result);

} // namespace zinniaferry::load
