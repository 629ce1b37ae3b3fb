/// Parses JSON with comments, and reads its fields. Every error names the file, the JSON path, the
/// value found and what was expected.
#pragma once

#include "config/text_file.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>

namespace zinniaferry::config
{

/// No object of a valid document has more members. The bound keeps the search for duplicate members
/// linear in the size of the document.
inline constexpr std::size_t max_object_members = 64;

/// In characters.
inline constexpr std::size_t max_name_length = 64;

/// The location of a value in a document. Locations form a linked list on the stack, so that a path
/// is only formatted when there is an error.
struct json_location
{
    const json_location* parent = nullptr; ///< Null for the document itself.
    std::string_view member;               ///< Empty for an element of an array.
    std::size_t element = 0;               ///< Index in the array; unused for a member.
};

/// Returns a path such as "$.accounts[2].rate". Thread safe.
std::string to_string(const json_location& location);

/// An object of a document and its location. The references must outlive the reader.
struct object_reader
{
    const std::string& file;
    const json_location& location;
    const boost::json::object& object;
};

/// Both bounds are inclusive.
template <class Number>
struct number_bounds
{
    Number low;
    Number high;
};

/// Whether a member may be absent.
enum class presence
{
    required,
    optional
};

/// Parses a whole document. Error: document_error for text that is larger than
/// `max_document_bytes`, is not JSON, is nested too deeply, or has an object with a duplicate
/// member or more than `max_object_members`. Thread safe.
core::result<boost::json::value> parse_document(std::string_view text, const std::string& file,
                                                boost::json::storage_ptr storage = {});

/// Returns the value as JSON for an error message, cut to 60 bytes and "...". Thread safe.
std::string truncated_json(const boost::json::value& value);

/// Makes a document_error for `member` of the reader's object, or for the object itself when
/// `member` is empty. Thread safe.
boost::leaf::error_id field_error(const object_reader& reader, std::string_view member,
                                  std::string value, std::string expected);

/// Returns the value as an object. Error: document_error for any other type. Thread safe.
core::result<const boost::json::object*>
as_object(const boost::json::value& value, const std::string& file, const json_location& location);

/// Checks that every member of the object is in `known`. Error: document_error for the first member
/// that is not. Thread safe.
core::result<void> reject_unknown_members(const object_reader& reader,
                                          std::span<const std::string_view> known);

/// Each of the following functions reads one member into `out`, which stays unchanged when an
/// optional member is absent. Error: document_error when a required member is absent or a value is
/// not accepted. Thread safe.
core::result<void> read_integer(const object_reader& reader, std::string_view member,
                                presence needed, number_bounds<std::uint64_t> bounds,
                                std::uint64_t& out);
core::result<void> read_integer(const object_reader& reader, std::string_view member,
                                presence needed, number_bounds<std::uint32_t> bounds,
                                std::uint32_t& out);
core::result<void> read_milliseconds(const object_reader& reader, std::string_view member,
                                     presence needed, number_bounds<core::duration> bounds,
                                     core::duration& out);
core::result<void> read_bool(const object_reader& reader, std::string_view member, presence needed,
                             bool& out);

/// Reads a number with at most six decimal places. More are rejected, because a number must be the
/// same after it is printed and read again.
core::result<void> read_decimal(const object_reader& reader, std::string_view member,
                                presence needed, number_bounds<double> bounds, double& out);

/// Reads a string of 1 to 64 letters, digits, '.', '_' and '-'. Names are limited to these because
/// they appear in HTTP headers and metric labels.
core::result<void> read_name(const object_reader& reader, std::string_view member, presence needed,
                             std::string& out);

/// Reads an IP address and a port. Port 0 is rejected unless `allow_port_zero`.
core::result<void> read_address(const object_reader& reader, std::string_view member,
                                presence needed, bool allow_port_zero, std::string& out);

/// Reads a string that is one of `choices` and sets `out` to its index.
core::result<void> read_choice(const object_reader& reader, std::string_view member,
                               presence needed, std::span<const std::string_view> choices,
                               std::size_t& out);

/// Reads a string of printable ASCII characters whose value must not appear in messages. `bounds`
/// apply to its length.
core::result<void> read_secret(const object_reader& reader, std::string_view member,
                               presence needed, number_bounds<std::size_t> bounds,
                               std::string& out);

/// Returns the member as an array, or nullptr when it is optional and absent.
core::result<const boost::json::array*> read_list(const object_reader& reader,
                                                  std::string_view member, presence needed);

/// Adds `value` to `seen`. Error: document_error for `member` when it is already there.
core::result<void> check_unique(const object_reader& reader, std::string_view member,
                                std::unordered_set<std::string>& seen, const std::string& value,
                                const char* expected);

} // namespace zinniaferry::config
