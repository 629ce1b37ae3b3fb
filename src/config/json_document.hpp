/// Parsing of JSON with comments, and readers of its fields that report every error with the file,
/// the JSON path, the value and what was expected. Used by the readers of `config`.
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

/// No object of a valid document has more members. The bound keeps the search for duplicate
/// members linear.
inline constexpr std::size_t max_object_members = 64;

/// Length of a name, in characters.
inline constexpr std::size_t max_name_length = 64;

/// A place in a document. Places are chained on the stack, so that a path is only written out
/// when there is an error.
struct json_location
{
    const json_location* parent = nullptr; ///< Null for the document itself.
    std::string_view member;            ///< Empty for an element of an array.
    std::size_t element = 0;
};

/// Returns a path such as "$.accounts[2].rate". Thread safe.
std::string to_string(const json_location& location);

/// An object of a document with its place. The pointers must outlive the reader.
struct object_reader
{
    const std::string& file;
    const json_location& location;
    const boost::json::object& object;
};

template <class Number>
struct number_bounds
{
    Number low;
    Number high;
};

enum class presence
{
    required,
    optional
};

/// Parses a whole document. Errors: document_error for text that is too large, not JSON, nested
/// too deeply, or has a member twice. Thread safe.
core::result<boost::json::value> parse_document(std::string_view text, const std::string& file,
                                                boost::json::storage_ptr storage = {});

/// Returns the value as text of at most 60 characters for an error message. Thread safe.
std::string truncated_json(const boost::json::value& value);

/// Makes a document_error for `member` of the reader's object, or for the object when `member` is
/// empty. Thread safe.
boost::leaf::error_id field_error(const object_reader& reader, std::string_view member,
                                  std::string value, std::string expected);

/// Returns the value as an object. Error: document_error. Thread safe.
core::result<const boost::json::object*>
as_object(const boost::json::value& value, const std::string& file, const json_location& location);

/// Refuses a member that is not in `known`. Error: document_error. Thread safe.
core::result<void> reject_unknown_members(const object_reader& reader,
                                 std::span<const std::string_view> known);

/// Each of these reads one member into `out` and leaves `out` as it is when an optional member is
/// absent. Error: document_error. Thread safe.
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

/// Reads a number with at most six decimals. More are refused, because a number must survive
/// printing and reading unchanged.
core::result<void> read_decimal(const object_reader& reader, std::string_view member,
                                presence needed, number_bounds<double> bounds, double& out);

/// Reads a string of 1 to 64 letters, digits, '.', '_' and '-'; names travel in HTTP headers and
/// metric labels.
core::result<void> read_name(const object_reader& reader, std::string_view member, presence needed,
                             std::string& out);

/// Reads an IP number and a port. Port 0 is refused unless `allow_port_zero`.
core::result<void> read_address(const object_reader& reader, std::string_view member,
                                presence needed, bool allow_port_zero, std::string& out);

/// Reads a string that is one of `choices` and gives its position.
core::result<void> read_choice(const object_reader& reader, std::string_view member,
                               presence needed, std::span<const std::string_view> choices,
                               std::size_t& out);

/// Reads a string whose value must not appear in messages. `bounds` are its length.
core::result<void> read_secret(const object_reader& reader, std::string_view member,
                               presence needed, number_bounds<std::size_t> bounds,
                               std::string& out);

/// Returns the member as a list, or nullptr when it is optional and absent.
core::result<const boost::json::array*> read_list(const object_reader& reader,
                                                  std::string_view member, presence needed);

/// Adds `value` to the set and refuses it when it is there already.
core::result<void> check_unique(const object_reader& reader, std::string_view member,
                                std::unordered_set<std::string>& seen, const std::string& value,
                                const char* expected);

} // namespace zinniaferry::config
