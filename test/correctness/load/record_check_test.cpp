#include "load/record_check.hpp"

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

namespace zinniaferry::load
{
namespace
{

// Builds a history line by line in the formats of record files and execution logs.
struct history_builder
{
    run_history history;

    history_builder& record(const char* id, const char* outcome, bool idempotent = false)
    {
        EXPECT_TRUE(add_record(
            history,
            fmt::format(R"({{"id":"{}","outcome":"{}","idempotent":{}}})", id, outcome, idempotent),
            "records"));
        return *this;
    }

    history_builder& execution(const char* caller_id, const char* request_id, const char* key = "",
                               bool key_header = false)
    {
        EXPECT_TRUE(add_execution(
            history,
            fmt::format(R"({{"caller_id":"{}","request_id":"{}","idempotency_key":"{}",)"
                        R"("account":"a","key_header":{}}})",
                        caller_id, request_id, key, key_header),
            "executions"));
        return *this;
    }
};

// Guards against false violations: a request that was not run, unknown outcomes with and without an
// execution, and a repeated idempotent request are all allowed.
TEST(record_check, finds_no_violation_in_a_valid_history)
{
    history_builder valid;
    valid.record("1", "answered").execution("1", "r1", "k1");
    valid.record("2", "not_run").record("3", "unknown").record("4", "unknown");
    valid.execution("4", "r4", "k4");
    valid.record("5", "answered", true).execution("5", "r5").execution("5", "r5");
    const check_result result = check_history(valid.history);
    EXPECT_EQ(violation_count(result), 0U);
    EXPECT_EQ(result.idempotent_repeats, 1U);
    EXPECT_EQ(result.records, 5U);
    EXPECT_EQ(result.executions, 4U);
}

// Guards against a check that misses a kind of violation, or counts one violation twice.
TEST(record_check, finds_each_violation)
{
    const auto check_single_violation = [](history_builder& builder)
    {
        check_result result = check_history(builder.history);
        EXPECT_EQ(violation_count(result), 1U);
        EXPECT_EQ(result.examples.size(), 1U);
        return result;
    };
    history_builder repeated_key;
    repeated_key.record("1", "answered").record("2", "unknown");
    repeated_key.execution("1", "r1", "k").execution("2", "r2", "k");
    EXPECT_EQ(check_single_violation(repeated_key).repeated_keys, 1U);
    history_builder repeated_request;
    repeated_request.record("1", "answered").execution("1", "r1").execution("1", "r2");
    EXPECT_EQ(check_single_violation(repeated_request).repeated_requests, 1U);
    history_builder shared_id;
    shared_id.record("1", "answered").record("2", "answered");
    shared_id.execution("1", "r").execution("2", "r");
    EXPECT_EQ(check_single_violation(shared_id).shared_request_ids, 1U);
    history_builder not_run;
    not_run.record("1", "not_run").execution("1", "r1");
    EXPECT_EQ(check_single_violation(not_run).executed_not_run, 1U);
    history_builder unexecuted;
    unexecuted.record("1", "answered");
    EXPECT_EQ(check_single_violation(unexecuted).answered_unexecuted, 1U);
    history_builder unrecorded;
    unrecorded.execution("1", "r1");
    EXPECT_EQ(check_single_violation(unrecorded).unrecorded, 1U);
    history_builder leaked_key;
    leaked_key.record("1", "answered").execution("1", "r1", "", true);
    EXPECT_EQ(violation_count(check_history(leaked_key.history)), 1U);
}

// Guards against skipping malformed lines silently, which would hide violations.
TEST(record_check, rejects_malformed_lines)
{
    run_history history;
    EXPECT_FALSE(add_record(history, "{", "records"));
    EXPECT_FALSE(add_record(history, R"({"id":"1","outcome":"answered"})", "records"));
    EXPECT_FALSE(add_execution(history, R"({"caller_id":"1"})", "executions"));
    EXPECT_EQ(history.records + history.executions, 0U);
}

} // namespace
} // namespace zinniaferry::load
