// Parsing: one pass finds syntax errors with their position and members that appear twice, which
// Boost.JSON's own parser would silently replace; a second pass builds the value.
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

struct open_container
{
    bool is_object = false;
    std::vector<std::string> members; ///< Names so far; the last one is open.
    std::size_t elements = 0;         ///< Values seen so far in an array.
};

// Receives the parser's events and remembers the first member that appears twice.
struct member_checker
{
    static constexpr std::size_t max_object_size = std::size_t(-1);
    static constexpr std::size_t max_array_size = std::size_t(-1);
    static constexpr std::size_t max_key_size = std::size_t(-1);
    static constexpr std::size_t max_string_size = std::size_t(-1);

    bool on_document_begin(json::error_code&) { return true; }
    bool on_document_end(json::error_code&) { return true; }
    bool on_object_begin(json::error_code&) { return open(true); }
    bool on_object_end(std::size_t, json::error_code&) { return close(); }
    bool on_array_begin(json::error_code&) { return open(false); }
    bool on_array_end(std::size_t, json::error_code&) { return close(); }
    bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
    bool on_string(json::string_view, std::size_t, json::error_code&) { return value(); }
    bool on_number_part(json::string_view, json::error_code&) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code&) { return value(); }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code&) { return value(); }
    bool on_double(double, json::string_view, json::error_code&) { return value(); }
    bool on_bool(bool, json::error_code&) { return value(); }
    bool on_null(json::error_code&) { return value(); }
    bool on_comment_part(json::string_view, json::error_code&) { return true; }
    bool on_comment(json::string_view, json::error_code&) { return true; }

    bool on_key_part(json::string_view part, std::size_t, json::error_code&)
    {
        key.append(part.data(), part.size());
        return true;
    }

    bool on_key(json::string_view part, std::size_t, json::error_code& error)
    {
        key.append(part.data(), part.size());
        std::vector<std::string>& members = containers[depth - 1].members;
        const bool twice = std::find(members.begin(), members.end(), key) != members.end();
        const bool too_many = members.size() >= max_object_members;
        members.push_back(std::exchange(key, {}));
        if (twice || too_many)
        {
            fault_path = path();
            fault = twice ? "each member once" : "at most 64 members in an object";
            error = make_error_code(json::error::extra_data);
        }
        return fault.empty();
    }

    bool open(bool is_object)
    {
        if (depth == containers.size())
        {
            containers.emplace_back();
        }
        // Containers are reused, so that a long list does not allocate for each of its entries.
        open_container& container = containers[depth++];
        container.is_object = is_object;
        container.members.clear();
        container.elements = 0;
        return true;
    }

    bool close()
    {
        --depth;
        return value();
    }

    bool value()
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

    std::vector<open_container> containers;
    std::size_t depth = 0;
    std::string key;
    std::string fault;
    std::string fault_path;
};

std::string position_of(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t start = before.rfind('\n');
    const std::size_t column = before.size() - (start == std::string_view::npos ? 0 : start + 1);
    return fmt::format("line {}, column {}", line, column + 1);
}

core::result<void> check_text(std::string_view text, const std::string& file)
{
    json::basic_parser<member_checker> parser(options);
    json::error_code error;
    std::size_t used = parser.write_some(false, text.data(), text.size(), error);
    if (!error && used < text.size())
    {
        error = make_error_code(json::error::extra_data);
    }
    const member_checker& checker = parser.handler();
    if (!checker.fault.empty())
    {
        return boost::leaf::new_error(core::document_error{.file = file,
                                                           .path = checker.fault_path,
                                                           .value = position_of(text, used),
                                                           .expected = checker.fault});
    }
    if (error)
    {
        return boost::leaf::new_error(core::document_error{
            .file = file,
            .path = "$",
            .value = fmt::format("{} at {}", error.message(), position_of(text, used)),
            .expected = "one JSON value, with comments and trailing commas if wanted"});
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
    BOOST_LEAF_CHECK(check_text(text, file));
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
