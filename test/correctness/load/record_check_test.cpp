#include "load/record_check.hpp"

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

namespace zinniaferry::load
{
namespace
{

struct history
{
    evidence seen;

    history& record(const char* id, const char* outcome, bool idempotent = false)
    {
        EXPECT_TRUE(add_record(
            seen,
            fmt::format(R"({{"id":"{}","outcome":"{}","idempotent":{}}})", id, outcome, idempotent),
            "records"));
        return *this;
    }

    history& execution(const char* caller_id, const char* request_id, const char* key = "",
                       bool key_header = false)
    {
        EXPECT_TRUE(add_execution(
            seen,
            fmt::format(R"({{"caller_id":"{}","request_id":"{}","idempotency_key":"{}",)"
                        R"("account":"a","key_header":{}}})",
                        caller_id, request_id, key, key_header),
            "executions"));
        return *this;
    }
};

// Guards against a check that calls allowed behaviour a violation.
TEST(record_check, finds_nothing_in_a_good_history)
{
    history good;
    good.record("1", "answered").execution("1", "r1", "k1");
    good.record("2", "not_run").record("3", "unknown").record("4", "unknown");
    good.execution("4", "r4", "k4");
    good.record("5", "answered", true).execution("5", "r5").execution("5", "r5");
    const findings found = judge(good.seen);
    EXPECT_EQ(violations(found), 0U);
    EXPECT_EQ(found.idempotent_repeats, 1U);
    EXPECT_EQ(found.records, 5U);
    EXPECT_EQ(found.executions, 4U);
}

// Guards against a check that cannot fail: each violation alone is found, and counted once.
TEST(record_check, finds_each_violation)
{
    const auto judged = [](history& bad)
    {
        findings found = judge(bad.seen);
        EXPECT_EQ(violations(found), 1U);
        EXPECT_EQ(found.examples.size(), 1U);
        return found;
    };
    history key;
    key.record("1", "answered").record("2", "unknown");
    key.execution("1", "r1", "k").execution("2", "r2", "k");
    EXPECT_EQ(judged(key).repeated_keys, 1U);
    history twice;
    twice.record("1", "answered").execution("1", "r1").execution("1", "r2");
    EXPECT_EQ(judged(twice).repeated_requests, 1U);
    history shared;
    shared.record("1", "answered").record("2", "answered");
    shared.execution("1", "r").execution("2", "r");
    EXPECT_EQ(judged(shared).shared_request_ids, 1U);
    history not_run;
    not_run.record("1", "not_run").execution("1", "r1");
    EXPECT_EQ(judged(not_run).executed_not_run, 1U);
    history unexecuted;
    unexecuted.record("1", "answered");
    EXPECT_EQ(judged(unexecuted).answered_unexecuted, 1U);
    history unrecorded;
    unrecorded.execution("1", "r1");
    EXPECT_EQ(judged(unrecorded).unrecorded, 1U);
    history seen_key;
    seen_key.record("1", "answered").execution("1", "r1", "", true);
    EXPECT_EQ(violations(judge(seen_key.seen)), 1U);
}

// Guards against lines that are passed over, which would hide violations.
TEST(record_check, refuses_lines_that_it_cannot_read)
{
    evidence seen;
    EXPECT_FALSE(add_record(seen, "{", "records"));
    EXPECT_FALSE(add_record(seen, R"({"id":"1","outcome":"answered"})", "records"));
    EXPECT_FALSE(add_execution(seen, R"({"caller_id":"1"})", "executions"));
    EXPECT_EQ(seen.records + seen.executions, 0U);
}

} // namespace
} // namespace zinniaferry::load
