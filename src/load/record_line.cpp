#include "load/record_line.hpp"

#include <boost/json.hpp>

namespace zinniaferry::load
{

namespace
{

namespace json = boost::json;

constexpr std::size_t max_examples = 10;

} // namespace

core::result<json::object> parse_line(std::string_view line, const std::string& file)
{
    json::error_code error;
    json::value value = json::parse(json::string_view(line.data(), line.size()), error);
    if (error || !value.is_object())
    {
        return boost::leaf::new_error(core::document_error{.file = file,
                                                           .path = "$",
                                                           .value = std::string(line.substr(0, 80)),
                                                           .expected = "a JSON object per line"});
    }
    return std::move(value.get_object());
}

boost::leaf::error_id invalid_field_error(const std::string& file, const char* key,
                                          const char* expected, const json::object& line)
{
    return boost::leaf::new_error(core::document_error{.file = file,
                                                       .path = std::string("$.") + key,
                                                       .value = json::serialize(line),
                                                       .expected = expected});
}

core::result<std::string> read_string(const json::object& line, const char* key,
                                      const std::string& file)
{
    const json::value* value = line.if_contains(key);
    if (value == nullptr || !value->is_string())
    {
        return invalid_field_error(file, key, "a string", line);
    }
    return std::string(value->get_string());
}

core::result<bool> read_bool(const json::object& line, const char* key, const std::string& file)
{
    const json::value* value = line.if_contains(key);
    if (value == nullptr || !value->is_bool())
    {
        return invalid_field_error(file, key, "true or false", line);
    }
    return value->get_bool();
}

core::result<std::int64_t> read_integer(const json::object& line, const char* key,
                                        const std::string& file)
{
    const json::value* value = line.if_contains(key);
    if (value == nullptr || !value->is_int64())
    {
        return invalid_field_error(file, key, "an integer", line);
    }
    return value->get_int64();
}

void add_violation(std::vector<std::string>& examples, std::uint64_t& count,
                   const std::string& description)
{
    ++count;
    if (examples.size() < max_examples)
    {
        examples.push_back(description);
    }
}

} // namespace zinniaferry::load
