/// Records of requests and the report over them.
#pragma once

#include "load/mix.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <string>

namespace zinniaferry::load
{

enum class outcome
{
    answered,
    not_run,
    unknown
};

/// How a request ended for its caller, beside the outcome.
enum class verdict
{
    whole,     ///< A complete answer of its own, or an error that states its outcome.
    crossed,   ///< The answer to another request.
    truncated, ///< An answer that looks complete and is not.
    cut,       ///< The connection ended before the answer did.
    timeout,   ///< The caller gave up.
    refused,   ///< No connection.
    limited    ///< The load tool had too many requests open and sent nothing.
};

struct request_record
{
    std::string id;
    std::string idempotency_key;
    std::string route;
    std::string account;
    std::string target;
    bool idempotent = true;
    bool repeat = false; ///< Another attempt at an order, with the same key.
    unsigned status = 0; ///< 0 without an answer.
    load::outcome outcome = outcome::unknown;
    load::verdict verdict = verdict::cut;
    seconds send_offset{0.0};           ///< Intended send time, from the start.
    milliseconds latency{0.0}; ///< From the intended send time.
};

const char* to_string(outcome value);
const char* to_string(verdict value);

/// Returns the line of a record file. Thread safe.
std::string to_json_line(const request_record& entry);

/// Latencies of answered requests in buckets of about 1%.
struct latency_histogram;

/// What is counted of a route or an account.
struct request_stats
{
    std::uint64_t sent = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> verdicts;
    std::map<unsigned, std::uint64_t> statuses;
    std::shared_ptr<latency_histogram> latencies;
    milliseconds max_latency{0.0};
};

struct run_report
{
    request_stats total;
    std::map<std::string, request_stats> routes;
    std::map<std::string, request_stats> accounts;
};

/// Counts a record under its route and its account. Not thread safe.
void count_request(run_report& report, const request_record& entry);

/// Returns the latency that `share` of the answered requests do not exceed, to about 1%; 0
/// without any. Precondition: 0 < share <= 1.
milliseconds percentile(const request_stats& stats, double fraction);

/// Returns how often an answer was crossed or truncated.
std::uint64_t wrong_response_count(const run_report& report);

/// Returns the report as JSON, or as a table for people.
boost::json::object to_json(const run_report& report, seconds elapsed);
std::string to_text(const run_report& report, seconds elapsed);

} // namespace zinniaferry::load
