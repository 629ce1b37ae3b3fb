#include "routing/load_reading.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace zinniaferry::routing
{

namespace
{

/// Weight of one reading in the average. A few busy readings end a calm time, and tens of others
/// begin one.
constexpr double reading_weight = 0.05;
/// An average without a reading for longer says nothing about the load now.
constexpr core::duration max_average_age = std::chrono::seconds(2);
/// A server is busy from this fraction of taken slots on.
constexpr double min_busy_load = 0.75;
/// Up to this fraction of busy servers, two busy candidates are as rare as one in a hundred.
constexpr double max_calm_fraction = 0.1;

bool is_current(const load_average& average, core::time_point now)
{
    return now - average.updated_at <= max_average_age;
}

} // namespace

void record(load_average& average, const load_reading& reading)
{
    const double slots = std::max(1U, reading.slots);
    const double load = (static_cast<double>(reading.running) + reading.waiting) / slots;
    const double busy = load >= min_busy_load ? 1.0 : 0.0;
    const double before = is_current(average, reading.received_at) ? average.busy_fraction : 1.0;
    average.busy_fraction = before + reading_weight * (busy - before);
    average.updated_at = reading.received_at;
}

bool is_calm(const load_average& average, core::time_point now)
{
    return is_current(average, now) && average.busy_fraction <= max_calm_fraction;
}

std::optional<load_reading> parse_named_load(std::string_view text, core::time_point now)
{
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
    std::optional<std::uint32_t> slots;
    while (!text.empty())
    {
        const std::size_t end = std::min(text.find(';'), text.size());
        const std::string_view part = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos)
        {
            return std::nullopt;
        }
        const std::string_view name = part.substr(0, equals);
        std::optional<std::uint32_t>* target = name == "inflight" ? &running
                                               : name == "queue"  ? &waiting
                                               : name == "slots"  ? &slots
                                                                  : nullptr;
        const std::string_view value = part.substr(equals + 1);
        if (target != nullptr)
        {
            const bool repeated = target->has_value();
            const char* last = value.data() + value.size();
            const auto [parsed, error] = std::from_chars(value.data(), last, target->emplace());
            if (repeated || error != std::errc() || parsed != last)
            {
                return std::nullopt;
            }
        }
    }
    if (!running || !waiting || !slots)
    {
        return std::nullopt;
    }
    return load_reading{.running = *running,
                        .waiting = *waiting,
                        .slots = std::max(1U, *slots),
                        .received_at = now};
}

std::optional<load_reading> parse_positional_load(std::string_view text, core::time_point now)
{
    std::array<std::uint32_t, 4> values = {0, 0, 1, 100};
    std::size_t count = 0;
    const char* at = text.data();
    const char* end = text.data() + text.size();
    while (count < values.size())
    {
        const auto [next, error] = std::from_chars(at, end, values.at(count));
        if (error != std::errc())
        {
            return std::nullopt;
        }
        ++count;
        if (next == end)
        {
            break;
        }
        if (*next != ',')
        {
            return std::nullopt;
        }
        at = next + 1;
    }
    if (count < 3)
    {
        return std::nullopt;
    }
    return load_reading{.running = values[0],
                        .waiting = values[1],
                        .slots = std::max(1U, values[2]),
                        .slowdown = static_cast<double>(values[3]) / 100.0,
                        .received_at = now};
}

} // namespace zinniaferry::routing
