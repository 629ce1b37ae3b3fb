/// Reads the lines of the event logs of many daemons. Files that are cut, mixed or out of order are
/// read as far as their lines are complete.
#pragma once

#include "core/error.hpp"
#include "core/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::explain
{

/// Wall-clock time as the daemons log it.
using wall_time = std::chrono::time_point<std::chrono::system_clock, core::duration>;

/// A line of an event log.
struct log_line
{
    wall_time time;
    std::string vm;
    std::string part;
    std::string kind;
    boost::json::object fields; ///< All of the line, with `time`, `vm`, `part` and `kind`.
};

struct log_lines
{
    std::vector<log_line> lines;
    std::size_t unread_lines = 0;          ///< Lines with text that is no complete event.
    std::uint64_t suppressed_requests = 0; ///< Lines of requests that daemons did not write.
};

/// Appends the events in `text`, one or more a line, each with any text before it. Of the lines of
/// requests only those of `request_id` are kept. Thread safe for different `out`.
void read_log(std::string_view text, std::string_view request_id, log_lines& out);

/// Sorts the lines by time and removes repeated ones. Thread safe for different `out`.
void sort_lines(log_lines& out);

/// Reads the files as read_log does; the lines are sorted, each once. Errors: as
/// config::read_text_file, with `max_log_bytes`. Thread safe.
core::result<log_lines> read_log_files(const std::vector<std::string>& files,
                                       std::string_view request_id);

/// Size of the largest log file that is read.
inline constexpr std::size_t max_log_bytes = 1U << 30U;

/// Returns a field, or nothing (an empty text) if it is missing or of another type. Thread safe.
std::string text_field(const boost::json::object& fields, std::string_view name);
std::optional<double> number_field(const boost::json::object& fields, std::string_view name);
bool is_field_true(const boost::json::object& fields, std::string_view name);

/// Returns a field in milliseconds as a duration; nothing also if it is out of range. Thread safe.
std::optional<core::duration> duration_field(const boost::json::object& fields,
                                             std::string_view name);

/// Returns a field with a count; 0 if it is missing, negative or out of range. Thread safe.
std::uint64_t count_field(const boost::json::object& fields, std::string_view name);

} // namespace zinniaferry::explain
