#include "explain/log_reader.hpp"

#include "config/text_file.hpp"

#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace zinniaferry::explain
{

namespace
{

namespace json = boost::json;

/// The text with which event_log begins each line. Within a JSON text its quotes are escaped.
constexpr std::string_view event_start = "{\"time\":";
/// Below these bounds, sums and differences of a time and a few durations can be represented.
constexpr double max_time_s = 8e9;
constexpr double max_duration_s = 1e8;
/// Counts beyond it are not represented exactly.
constexpr double max_count = 9e15;

struct parsed_event
{
    json::object fields;
    std::size_t size = 0; ///< Of its text.
};

// Parses the JSON object at the start of `text`. Returns nothing if it is incomplete or invalid.
std::optional<parsed_event> parse_object(std::string_view text)
{
    json::stream_parser parser;
    json::error_code error;
    const std::size_t size = parser.write_some(text.data(), text.size(), error);
    if (error || !parser.done())
    {
        return std::nullopt;
    }
    json::value value = parser.release();
    if (!value.is_object())
    {
        return std::nullopt;
    }
    return parsed_event{.fields = std::move(value.get_object()), .size = size};
}

std::optional<log_line> make_line(json::object fields)
{
    const std::optional<double> time = number_field(fields, "time");
    log_line out{.vm = text_field(fields, "vm"),
                 .part = text_field(fields, "part"),
                 .kind = text_field(fields, "kind")};
    if (!time || *time < 0.0 || *time >= max_time_s || out.vm.empty() || out.part.empty() ||
        out.kind.empty())
    {
        return std::nullopt;
    }
    out.time = wall_time(core::from_seconds(*time));
    out.fields = std::move(fields);
    return out;
}

bool is_request_kind(std::string_view kind)
{
    return kind == "answered" || kind == "not_answered";
}

void keep_line(log_line line, std::string_view request_id, log_lines& out)
{
    if (line.part == "log" && is_request_kind(text_field(line.fields, "of")))
    {
        out.suppressed_requests += count_field(line.fields, "lines");
    }
    if (line.part != "requests" || text_field(line.fields, "request") == request_id)
    {
        out.lines.push_back(std::move(line));
    }
}

// Reads the events of one line. Returns whether all of its text after the first prefix was read.
bool read_events(std::string_view line, std::string_view request_id, log_lines& out)
{
    bool is_read = true;
    std::size_t start = line.find(event_start);
    std::size_t end = std::string_view::npos;
    while (start != std::string_view::npos)
    {
        std::optional<parsed_event> event = parse_object(line.substr(start));
        std::optional<log_line> parsed = event ? make_line(std::move(event->fields)) : std::nullopt;
        is_read = is_read && parsed;
        end = start + (event ? event->size : event_start.size());
        if (parsed)
        {
            keep_line(std::move(*parsed), request_id, out);
        }
        start = line.find(event_start, end);
    }
    return is_read && line.find_first_not_of(" \t\r", end) == std::string_view::npos &&
           end != std::string_view::npos;
}

const json::value* find_field(const json::object& fields, std::string_view name)
{
    return fields.if_contains(json::string_view(name.data(), name.size()));
}

} // namespace

void read_log(std::string_view text, std::string_view request_id, log_lines& out)
{
    while (!text.empty())
    {
        const std::size_t size = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, size);
        text.remove_prefix(std::min(size + 1, text.size()));
        const bool is_blank = line.find_first_not_of(" \t\r") == std::string_view::npos;
        if (!is_blank && !read_events(line, request_id, out))
        {
            ++out.unread_lines;
        }
    }
}

void sort_lines(log_lines& out)
{
    const auto is_before = [](const log_line& a, const log_line& b)
    {
        return std::tie(a.time, a.vm) < std::tie(b.time, b.vm);
    };
    const auto is_same = [](const log_line& a, const log_line& b)
    {
        return a.time == b.time && a.vm == b.vm && a.fields == b.fields;
    };
    std::stable_sort(out.lines.begin(), out.lines.end(), is_before);
    out.lines.erase(std::unique(out.lines.begin(), out.lines.end(), is_same), out.lines.end());
}

core::result<log_lines> read_log_files(const std::vector<std::string>& files,
                                       std::string_view request_id)
{
    log_lines out;
    for (const std::string& file : files)
    {
        BOOST_LEAF_AUTO(text, config::read_text_file(file, max_log_bytes));
        read_log(text, request_id, out);
    }
    sort_lines(out);
    return out;
}

std::string text_field(const json::object& fields, std::string_view name)
{
    const json::value* value = find_field(fields, name);
    const json::string* text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

std::optional<double> number_field(const json::object& fields, std::string_view name)
{
    const json::value* value = find_field(fields, name);
    if (value == nullptr || !value->is_number())
    {
        return std::nullopt;
    }
    return value->to_number<double>();
}

bool is_field_true(const json::object& fields, std::string_view name)
{
    const json::value* value = find_field(fields, name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<core::duration> duration_field(const json::object& fields, std::string_view name)
{
    const std::optional<double> milliseconds = number_field(fields, name);
    if (!milliseconds || std::abs(*milliseconds / 1e3) >= max_duration_s)
    {
        return std::nullopt;
    }
    return core::from_seconds(*milliseconds / 1e3);
}

std::uint64_t count_field(const json::object& fields, std::string_view name)
{
    const double value = number_field(fields, name).value_or(0.0);
    return value > 0.0 && value < max_count ? static_cast<std::uint64_t>(value) : 0;
}

} // namespace zinniaferry::explain
