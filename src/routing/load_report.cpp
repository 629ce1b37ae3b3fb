#include "routing/load_report.hpp"

#include <algorithm>
#include <array>

namespace zinniaferry::routing
{

namespace
{

std::uint64_t parse_number(std::string_view text, bool& good)
{
    constexpr std::size_t longest = 9;
    good = !text.empty() && text.size() <= longest &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    std::uint64_t value = 0;
    for (std::size_t i = 0; good && i < text.size(); ++i)
    {
        value = value * 10 + static_cast<std::uint64_t>(text[i] - '0');
    }
    return value;
}

bool parse_state(std::string_view text, load_report& out)
{
    constexpr std::array stated = {server_state::serving, server_state::warming, server_state::cold,
                                   server_state::draining};
    for (const server_state state : stated)
    {
        if (text == to_string(state))
        {
            out.state = state;
            return true;
        }
    }
    return false;
}

bool parse_part(std::string_view key, std::string_view value, load_report& out)
{
    if (key == "state")
    {
        return parse_state(value, out);
    }
    std::uint32_t* const field = key == "inflight" ? &out.in_flight
                                 : key == "queue"  ? &out.queued
                                 : key == "slots"  ? &out.slots
                                                   : nullptr;
    if (field == nullptr)
    {
        return true;
    }
    bool good = false;
    *field = static_cast<std::uint32_t>(parse_number(value, good));
    return good;
}

} // namespace

std::optional<load_report> parse_load_report(std::string_view header)
{
    load_report out;
    bool any = false;
    while (!header.empty())
    {
        const std::size_t end = std::min(header.find(';'), header.size());
        std::string_view part = header.substr(0, end);
        header.remove_prefix(std::min(end + 1, header.size()));
        while (!part.empty() && part.front() == ' ')
        {
            part.remove_prefix(1);
        }
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos ||
            !parse_part(part.substr(0, equals), part.substr(equals + 1), out))
        {
            return std::nullopt;
        }
        any = true;
    }
    return any ? std::optional(out) : std::nullopt;
}

} // namespace zinniaferry::routing
