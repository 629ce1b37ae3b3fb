#include "config/json_document.hpp"

#include "config/address.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace zinniaferry::config
{

namespace
{

namespace json = boost::json;

constexpr std::size_t max_shown_bytes = 60;
constexpr double decimal_scale = 1e6;
// Larger than any rounding error of numbers up to 1e7, smaller than a seventh decimal place.
constexpr double decimal_tolerance = 5e-8;

json::string_view to_json_view(std::string_view text)
{
    return {text.data(), text.size()};
}

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
}

// Returns nullptr when an optional member is absent. A member whose value is null is present.
core::result<const json::value*> find_member(const object_reader& reader, std::string_view member,
                                             presence needed, const std::string& expected)
{
    const json::value* value = reader.object.if_contains(to_json_view(member));
    if (value == nullptr && needed == presence::required)
    {
        return field_error(reader, member, "nothing", expected);
    }
    return value;
}

template <class Unsigned>
core::result<void> read_unsigned(const object_reader& reader, std::string_view member,
                                 presence needed, number_bounds<Unsigned> bounds, Unsigned& out)
{
    const std::string expected = fmt::format("an integer from {} to {}", bounds.low, bounds.high);
    BOOST_LEAF_AUTO(value, find_member(reader, member, needed, expected));
    if (value == nullptr)
    {
        return {};
    }
    std::uint64_t number = 0;
    const std::int64_t* integer = value->if_int64();
    const bool is_whole = (integer != nullptr && *integer >= 0) || value->is_uint64();
    if (is_whole)
    {
        number = value->to_number<std::uint64_t>();
    }
    if (!is_whole || number < bounds.low || number > bounds.high)
    {
        return field_error(reader, member, truncated_json(*value), expected);
    }
    out = static_cast<Unsigned>(number);
    return {};
}

} // namespace

std::string to_string(const json_location& location)
{
    if (location.parent == nullptr)
    {
        return "$";
    }
    const std::string parent_path = to_string(*location.parent);
    return location.member.empty() ? fmt::format("{}[{}]", parent_path, location.element)
                                   : fmt::format("{}.{}", parent_path, location.member);
}

std::string truncated_json(const json::value& value)
{
    std::string text = json::serialize(value);
    if (text.size() > max_shown_bytes)
    {
        text.resize(max_shown_bytes);
        text += "...";
    }
    return text;
}

boost::leaf::error_id field_error(const object_reader& reader, std::string_view member,
                                  std::string value, std::string expected)
{
    const json_location location{.parent = &reader.location, .member = member};
    return boost::leaf::new_error(
        core::document_error{.file = reader.file,
                             .path = to_string(member.empty() ? reader.location : location),
                             .value = std::move(value),
                             .expected = std::move(expected)});
}

core::result<const json::object*> as_object(const json::value& value, const std::string& file,
                                            const json_location& location)
{
    if (!value.is_object())
    {
        return boost::leaf::new_error(core::document_error{.file = file,
                                                           .path = to_string(location),
                                                           .value = truncated_json(value),
                                                           .expected = "an object"});
    }
    return &value.get_object();
}

core::result<void> reject_unknown_members(const object_reader& reader,
                                          std::span<const std::string_view> known)
{
    for (const json::key_value_pair& entry : reader.object)
    {
        const std::string_view name(entry.key().data(), entry.key().size());
        if (std::find(known.begin(), known.end(), name) == known.end())
        {
            return field_error(reader, name, "an unknown field",
                               fmt::format("one of {}", fmt::join(known, ", ")));
        }
    }
    return {};
}

core::result<void> read_integer(const object_reader& reader, std::string_view member,
                                presence needed, number_bounds<std::uint64_t> bounds,
                                std::uint64_t& out)
{
    return read_unsigned(reader, member, needed, bounds, out);
}

core::result<void> read_integer(const object_reader& reader, std::string_view member,
                                presence needed, number_bounds<std::uint32_t> bounds,
                                std::uint32_t& out)
{
    return read_unsigned(reader, member, needed, bounds, out);
}

core::result<void> read_milliseconds(const object_reader& reader, std::string_view member,
                                     presence needed, number_bounds<core::duration> bounds,
                                     core::duration& out)
{
    using std::chrono::milliseconds;
    const auto count = [](core::duration d)
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(d).count());
    };
    std::uint64_t number = count(out);
    const bool is_present = reader.object.contains(to_json_view(member));
    BOOST_LEAF_CHECK(read_unsigned<std::uint64_t>(
        reader, member, needed, {.low = count(bounds.low), .high = count(bounds.high)}, number));
    if (is_present)
    {
        out = milliseconds(number);
    }
    return {};
}

core::result<void> read_bool(const object_reader& reader, std::string_view member, presence needed,
                             bool& out)
{
    BOOST_LEAF_AUTO(value, find_member(reader, member, needed, "true or false"));
    if (value != nullptr && !value->is_bool())
    {
        return field_error(reader, member, truncated_json(*value), "true or false");
    }
    out = value == nullptr ? out : value->get_bool();
    return {};
}

core::result<void> read_decimal(const object_reader& reader, std::string_view member,
                                presence needed, number_bounds<double> bounds, double& out)
{
    const std::string expected = fmt::format(
        "a number from {} to {} with at most six decimal places", bounds.low, bounds.high);
    BOOST_LEAF_AUTO(value, find_member(reader, member, needed, expected));
    if (value == nullptr)
    {
        return {};
    }
    double number = -1.0;
    if (value->is_number())
    {
        number = value->to_number<double>();
    }
    if (!value->is_number() || !(number >= bounds.low && number <= bounds.high))
    {
        return field_error(reader, member, truncated_json(*value), expected);
    }
    // Boost.JSON may miss the nearest double by one unit in the last place; this division does not.
    const double nearest = std::round(number * decimal_scale) / decimal_scale;
    if (std::abs(nearest - number) > decimal_tolerance)
    {
        return field_error(reader, member, truncated_json(*value), expected);
    }
    out = nearest;
    return {};
}

core::result<void> read_name(const object_reader& reader, std::string_view member, presence needed,
                             std::string& out)
{
    static const std::string expected =
        fmt::format("a name of 1 to {} letters, digits, '.', '_' or '-'", max_name_length);
    BOOST_LEAF_AUTO(value, find_member(reader, member, needed, expected));
    if (value == nullptr)
    {
        return {};
    }
    const json::string* text = value->if_string();
    if (text == nullptr || text->empty() || text->size() > max_name_length ||
        !std::all_of(text->begin(), text->end(), is_name_character))
    {
        return field_error(reader, member, truncated_json(*value), expected);
    }
    out.assign(text->data(), text->size());
    return {};
}

core::result<void> read_address(const object_reader& reader, std::string_view member,
                                presence needed, bool allow_port_zero, std::string& out)
{
    static const std::string expected = "an IP address and a port, such as 192.0.2.1:8080";
    BOOST_LEAF_AUTO(value, find_member(reader, member, needed, expected));
    if (value == nullptr)
    {
        return {};
    }
    const json::string* text = value->if_string();
    const auto address = text == nullptr
                             ? std::nullopt
                             : parse_address(std::string_view(text->data(), text->size()));
    if (!address || (address->port == 0 && !allow_port_zero))
    {
        return field_error(reader, member, truncated_json(*value), expected);
    }
    out.assign(text->data(), text->size());
    return {};
}

core::result<void> read_choice(const object_reader& reader, std::string_view member,
                               presence needed, std::span<const std::string_view> choices,
                               std::size_t& out)
{
    const std::string expected = fmt::format("one of {}", fmt::join(choices, ", "));
    BOOST_LEAF_AUTO(value, find_member(reader, member, needed, expected));
    if (value == nullptr)
    {
        return {};
    }
    const json::string* text = value->if_string();
    const auto found = text == nullptr ? choices.end()
                                       : std::find(choices.begin(), choices.end(),
                                                   std::string_view(text->data(), text->size()));
    if (found == choices.end())
    {
        return field_error(reader, member, truncated_json(*value), expected);
    }
    out = static_cast<std::size_t>(found - choices.begin());
    return {};
}

core::result<void> read_secret(const object_reader& reader, std::string_view member,
                               presence needed, number_bounds<std::size_t> bounds, std::string& out)
{
    const std::string expected =
        fmt::format("a string of {} to {} printable ASCII characters", bounds.low, bounds.high);
    BOOST_LEAF_AUTO(value, find_member(reader, member, needed, expected));
    if (value == nullptr)
    {
        return {};
    }
    const json::string* text = value->if_string();
    if (text == nullptr)
    {
        return field_error(reader, member, "a value that is not a string", expected);
    }
    const bool is_printable =
        std::all_of(text->begin(), text->end(), [](char c) { return c > ' ' && c <= '~'; });
    if (!is_printable || text->size() < bounds.low || text->size() > bounds.high)
    {
        return field_error(reader, member, fmt::format("a string of {} bytes", text->size()),
                           expected);
    }
    out.assign(text->data(), text->size());
    return {};
}

core::result<const json::array*> read_list(const object_reader& reader, std::string_view member,
                                           presence needed)
{
    BOOST_LEAF_AUTO(value, find_member(reader, member, needed, "an array"));
    if (value == nullptr)
    {
        return nullptr;
    }
    if (!value->is_array())
    {
        return field_error(reader, member, truncated_json(*value), "an array");
    }
    return &value->get_array();
}

core::result<void> check_unique(const object_reader& reader, std::string_view member,
                                std::unordered_set<std::string>& seen, const std::string& value,
                                const char* expected)
{
    if (!seen.insert(value).second)
    {
        return field_error(reader, member, value, expected);
    }
    return {};
}

} // namespace zinniaferry::config
