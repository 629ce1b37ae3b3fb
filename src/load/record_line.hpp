/// Reads the lines of record files and of the stand-in servers' logs, each a JSON object.
#pragma once

#include "core/error.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::load
{

/// All functions are thread safe. `file` is the name in the error, a document_error with the path
/// of the field.

/// Parses one line. Error: document_error.
core::result<boost::json::object> parse_line(std::string_view line, const std::string& file);

/// Return the value of a field. Error: document_error if it is missing or of another type.
core::result<std::string> read_string(const boost::json::object& line, const char* key,
                                      const std::string& file);
core::result<bool> read_bool(const boost::json::object& line, const char* key,
                             const std::string& file);
core::result<std::int64_t> read_integer(const boost::json::object& line, const char* key,
                                        const std::string& file);

/// Returns the error about a field whose value is not `expected`.
boost::leaf::error_id invalid_field_error(const std::string& file, const char* key,
                                          const char* expected, const boost::json::object& line);

/// Counts a violation and keeps its description among the first 10 examples.
void add_violation(std::vector<std::string>& examples, std::uint64_t& count,
                   const std::string& description);

} // namespace zinniaferry::load
