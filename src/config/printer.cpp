#include "config/printer.hpp"

#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace zinniaferry::config
{

namespace
{

using text_inserter = std::back_insert_iterator<std::string>;

// In characters. Numbers up to 1e7 with six decimal places take 15 in fixed notation, but a number
// out of range must fit as well, because the builder prints before it checks.
constexpr std::size_t number_buffer_size = 400;

std::string decimal_text(double value)
{
    std::array<char, number_buffer_size> buffer{};
    const auto conversion = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                                          std::chars_format::fixed);
    return {buffer.data(), conversion.ptr};
}

std::string quoted(std::string_view text)
{
    // Checked names need no escapes, but the builder prints names before it checks them.
    const auto is_plain = [](char c)
    {
        return c >= ' ' && c <= '~' && c != '"' && c != '\\';
    };
    if (std::all_of(text.begin(), text.end(), is_plain))
    {
        std::string out = "\"";
        out += text;
        out += '"';
        return out;
    }
    return boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

long long whole_milliseconds(core::duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

void append(std::string& out, const region& value)
{
    fmt::format_to(text_inserter(out), R"({{"name":{},"weight":{}}})", quoted(value.name),
                   decimal_text(value.weight));
}

void append(std::string& out, const data_centre& value)
{
    fmt::format_to(text_inserter(out), R"({{"name":{},"region":{},"state":"{}"}})",
                   quoted(value.name), quoted(value.region), value.in_service ? "in" : "out");
}

void append(std::string& out, const account& value)
{
    fmt::format_to(text_inserter(out), R"({{"name":{},"keys":[)", quoted(value.name));
    const char* separator = "";
    for (const core::digest& key : value.keys)
    {
        fmt::format_to(text_inserter(out), R"({}"{}")", separator, core::to_hex(key));
        separator = ",";
    }
    fmt::format_to(text_inserter(out), R"(],"rate":{},"burst":{}}})", decimal_text(value.rate),
                   decimal_text(value.burst));
}

// `leaving` is omitted when it is false, because a document of 1 MB may have 17,000 servers. For
// the same reason this avoids the cost of a format string.
void append(std::string& out, const backend_server& value)
{
    out += R"({"name":)";
    out += quoted(value.name);
    out += R"(,"data_centre":)";
    out += quoted(value.data_centre);
    out += R"(,"address":)";
    out += quoted(value.address);
    out += value.leaving ? R"(,"leaving":true})" : "}";
}

void append(std::string& out, const service& value);
void append(std::string& out, const route& value);

template <class Entry>
void append_list(std::string& out, const std::vector<Entry>& entries)
{
    out += "[";
    const char* separator = "\n";
    for (const Entry& entry : entries)
    {
        out += separator;
        append(out, entry);
        separator = ",\n";
    }
    out += entries.empty() ? "]" : "\n]";
}

void append(std::string& out, const service& value)
{
    fmt::format_to(text_inserter(out),
                   R"({{"name":{},"slots":{},"max_connections":{},"health_path":{},)"
                   R"("warmup_ms":{},"warmup_rate":{},"servers":)",
                   quoted(value.name), value.slots, value.max_connections,
                   quoted(value.health_path), whole_milliseconds(value.warmup),
                   decimal_text(value.warmup_rate));
    append_list(out, value.servers);
    out += "}";
}

void append_split(std::string& out, const std::vector<weighted_service>& split)
{
    out += R"("split":[)";
    const char* separator = "";
    for (const weighted_service& part : split)
    {
        fmt::format_to(text_inserter(out), R"({}{{"service":{},"weight":{}}})", separator,
                       quoted(part.service), decimal_text(part.weight));
        separator = ",";
    }
    out += "],";
}

void append(std::string& out, const route& value)
{
    out += "{";
    if (!value.host.empty())
    {
        fmt::format_to(text_inserter(out), R"("host":{},)", quoted(value.host));
    }
    fmt::format_to(text_inserter(out), R"("prefix":{},)", quoted(value.prefix));
    if (value.split.empty())
    {
        fmt::format_to(text_inserter(out), R"("service":{},)", quoted(value.service));
    }
    else
    {
        append_split(out, value.split);
    }
    fmt::format_to(text_inserter(out),
                   R"("class":"{}","idempotent":{},"open":{},"attempts":{},"timeout_ms":{},)"
                   R"("objective_ms":{}}})",
                   route_class_name(value.priority), value.idempotent, value.open, value.attempts,
                   whole_milliseconds(value.timeout), whole_milliseconds(value.objective));
}

template <class Entry>
std::string print_entry(const Entry& value)
{
    std::string out;
    append(out, value);
    return out;
}

template <class Entry>
void append_section(std::string& out, const char* name, const std::vector<Entry>& entries)
{
    fmt::format_to(text_inserter(out), ",\n\"{}\":", name);
    append_list(out, entries);
}

} // namespace

std::string_view route_class_name(std::uint32_t priority)
{
    constexpr std::array<std::string_view, 3> names{"order", "lookup", "browse"};
    return names.at(std::min<std::size_t>(priority, names.size() - 1));
}

std::string canonical_text(const configuration& config)
{
    std::string out = fmt::format("{{\n\"version\":{}", config.version);
    append_section(out, "regions", config.regions);
    append_section(out, "data_centres", config.data_centres);
    append_section(out, "accounts", config.accounts);
    append_section(out, "services", config.services);
    append_section(out, "routes", config.routes);
    out += "\n}\n";
    return out;
}

std::string canonical_text(const region& value)
{
    return print_entry(value);
}

std::string canonical_text(const data_centre& value)
{
    return print_entry(value);
}

std::string canonical_text(const account& value)
{
    return print_entry(value);
}

std::string canonical_text(const backend_server& value)
{
    return print_entry(value);
}

std::string canonical_text(const service& value)
{
    return print_entry(value);
}

std::string canonical_text(const route& value)
{
    return print_entry(value);
}

core::digest digest_of(const configuration& config)
{
    return core::sha256(canonical_text(config));
}

} // namespace zinniaferry::config
