/// A recorded trace: a run with its faults, one a line, and the outcome that it must have.
///
///     # A comment, on a line of its own or after the text of a line.
///     deployment kandy
///     seed 7
///     at 25.0 withdraw_key galle-furniture
///     expect R4.violations == 0
#pragma once

#include "history/run.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::history
{

/// A statement about one number of a run's report.
struct expectation
{
    std::string counter;
    std::string comparison; ///< ==, >= or <=.
    double number = 0.0;
};

struct trace
{
    run_options options;
    std::vector<fault> faults;
    std::vector<expectation> outcome;
};

/// Reads a trace. Error: document_error whose path is the line, such as "line 3". Thread safe.
core::result<trace> read_trace(std::string_view text, const std::string& file);

/// Returns a number of the report by name: "R4.violations", "R4.checks", "account.NAME.admitted",
/// or a counter, which is 0 when nothing was counted. Thread safe.
double value_of(const run_report& report, const std::string& counter);

/// Returns whether the statement is true of the report. Thread safe.
bool holds(const expectation& stated, const run_report& report);

/// Carries out the trace on the real deciders. Thread safe.
run_report replay(const trace& recorded);

} // namespace zinniaferry::history
