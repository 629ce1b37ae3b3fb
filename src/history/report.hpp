/// What the history check prints.
#pragma once

#include "history/run.hpp"

#include <boost/json/object.hpp>

#include <string>

namespace zinniaferry::history
{

/// Adds the counts of `more` to those of `sum`.
void add_report(run_report& sum, const run_report& more);

/// Returns the counts as lines for a person. Thread safe.
std::string print_report(const run_report& report);

/// Returns the counts as JSON. Thread safe.
boost::json::object to_json(const run_report& report);

/// Returns the trace that shows the violation, in the format of `trace.hpp`. Thread safe.
std::string print_trace(const run_report& report, const std::vector<fault>& faults);

/// Returns what a guarantee says in a few words. Thread safe.
const char* guarantee_text(std::size_t number);

} // namespace zinniaferry::history
