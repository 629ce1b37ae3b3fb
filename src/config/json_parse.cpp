// Parses JSON in two passes. The first finds the position of syntax errors, and duplicate members,
// which Boost.JSON's own parser would silently replace; the second builds the value.
#include "config/json_document.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <vector>

namespace zinniaferry::config
{

namespace
{

namespace json = boost::json;

constexpr json::parse_options options{.allow_comments = true, .allow_trailing_commas = true};

/// An object or array whose end has not been parsed yet.
struct open_container
{
    bool is_object = false;
    std::vector<std::string> members; ///< Names so far; the last is that of the current value.
    std::size_t elements = 0;         ///< Values parsed so far in an array.
};

// Handles the parser's events. Stops at the first object with a duplicate member or too many
// members and keeps its error.
struct member_checker
{
    static constexpr std::size_t max_object_size = std::size_t(-1);
    static constexpr std::size_t max_array_size = std::size_t(-1);
    static constexpr std::size_t max_key_size = std::size_t(-1);
    static constexpr std::size_t max_string_size = std::size_t(-1);

    bool on_document_begin(json::error_code&) { return true; }
    bool on_document_end(json::error_code&) { return true; }
    bool on_object_begin(json::error_code&) { return enter_container(true); }
    bool on_object_end(std::size_t, json::error_code&) { return leave_container(); }
    bool on_array_begin(json::error_code&) { return enter_container(false); }
    bool on_array_end(std::size_t, json::error_code&) { return leave_container(); }
    bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
    bool on_string(json::string_view, std::size_t, json::error_code&) { return count_value(); }
    bool on_number_part(json::string_view, json::error_code&) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code&) { return count_value(); }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code&) { return count_value(); }
    bool on_double(double, json::string_view, json::error_code&) { return count_value(); }
    bool on_bool(bool, json::error_code&) { return count_value(); }
    bool on_null(json::error_code&) { return count_value(); }
    bool on_comment_part(json::string_view, json::error_code&) { return true; }
    bool on_comment(json::string_view, json::error_code&) { return true; }

    bool on_key_part(json::string_view part, std::size_t, json::error_code&)
    {
        current_key.append(part.data(), part.size());
        return true;
    }

    bool on_key(json::string_view part, std::size_t, json::error_code& error)
    {
        current_key.append(part.data(), part.size());
        std::vector<std::string>& members = containers[depth - 1].members;
        const bool is_duplicate =
            std::find(members.begin(), members.end(), current_key) != members.end();
        const bool is_full = members.size() >= max_object_members;
        members.push_back(std::exchange(current_key, {}));
        if (is_duplicate || is_full)
        {
            error_path = path();
            expected =
                is_duplicate ? "each member at most once" : "at most 64 members in an object";
            error = make_error_code(json::error::extra_data);
        }
        return expected.empty();
    }

    bool enter_container(bool is_object)
    {
        if (depth == containers.size())
        {
            containers.emplace_back();
        }
        // Containers are reused, so that a long array does not allocate memory for each entry.
        open_container& container = containers[depth++];
        container.is_object = is_object;
        container.members.clear();
        container.elements = 0;
        return true;
    }

    bool leave_container()
    {
        --depth;
        return count_value();
    }

    bool count_value()
    {
        if (depth > 0)
        {
            ++containers[depth - 1].elements;
        }
        return true;
    }

    std::string path() const
    {
        std::string out = "$";
        for (std::size_t i = 0; i < depth; ++i)
        {
            out += containers[i].is_object ? "." + containers[i].members.back()
                                           : "[" + std::to_string(containers[i].elements) + "]";
        }
        return out;
    }

    std::vector<open_container> containers; ///< The first `depth` are open; the rest are unused.
    std::size_t depth = 0;
    std::string current_key; ///< The parts of a member's name received so far.
    std::string expected;    ///< The rule that the document breaks; empty while it breaks none.
    std::string error_path;
};

std::string position_of(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t line_break = before.rfind('\n');
    const std::size_t column =
        before.size() - (line_break == std::string_view::npos ? 0 : line_break + 1);
    return fmt::format("line {}, column {}", line, column + 1);
}

core::result<void> check_syntax(std::string_view text, const std::string& file)
{
    json::basic_parser<member_checker> parser(options);
    json::error_code error;
    std::size_t bytes_parsed = parser.write_some(false, text.data(), text.size(), error);
    if (!error && bytes_parsed < text.size())
    {
        error = make_error_code(json::error::extra_data);
    }
    const member_checker& checker = parser.handler();
    if (!checker.expected.empty())
    {
        return boost::leaf::new_error(core::document_error{.file = file,
                                                           .path = checker.error_path,
                                                           .value = position_of(text, bytes_parsed),
                                                           .expected = checker.expected});
    }
    if (error)
    {
        return boost::leaf::new_error(core::document_error{
            .file = file,
            .path = "$",
            .value = fmt::format("{} at {}", error.message(), position_of(text, bytes_parsed)),
            .expected = "one JSON value; comments and trailing commas are allowed"});
    }
    return {};
}

} // namespace

core::result<json::value> parse_document(std::string_view text, const std::string& file,
                                         json::storage_ptr storage)
{
    if (text.size() > max_document_bytes)
    {
        return boost::leaf::new_error(
            core::document_error{.file = file,
                                 .path = "$",
                                 .value = fmt::format("{} bytes", text.size()),
                                 .expected = fmt::format("at most {} bytes", max_document_bytes)});
    }
    BOOST_LEAF_CHECK(check_syntax(text, file));
    json::error_code error;
    json::value out = json::parse(json::string_view(text.data(), text.size()), error,
                                  std::move(storage), options);
    if (error)
    {
        return boost::leaf::new_error(core::document_error{
            .file = file, .path = "$", .value = error.message(), .expected = "a JSON value"});
    }
    return out;
}

} // namespace zinniaferry::config
