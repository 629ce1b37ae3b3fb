// Random schedules of faults, and the check of a fault's arguments.
#include "history/faults.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>

namespace zinniaferry::history
{

namespace
{

constexpr double largest_seconds = 86400;
constexpr std::size_t fewest_faults = 10;
constexpr std::size_t most_faults = 26;
constexpr double together_part = 0.3; ///< Of the faults that start with the one before.
constexpr double repeated_part = 0.2; ///< Of the faults that repeat the one before.

std::optional<double> read_number(std::string_view text)
{
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value)
                                                                    : std::nullopt;
}

bool is_whole(std::string_view text)
{
    return !text.empty() && text.size() < 7 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::vector<std::string> server_names(const config::configuration& config)
{
    std::vector<std::string> out;
    for (const config::service& service : config.services)
    {
        for (const config::backend_server& server : service.servers)
        {
            out.push_back(server.name);
        }
    }
    return out;
}

std::string expect_number(std::string_view value, double low, double high, const char* what)
{
    const auto number = read_number(value);
    return number && *number >= low && *number <= high
               ? std::string()
               : fmt::format("{} from {} to {}", what, low, high);
}

std::string expect_word(std::string_view value, std::initializer_list<std::string_view> words)
{
    return std::find(words.begin(), words.end(), value) != words.end()
               ? std::string()
               : fmt::format("one of {}", fmt::join(words, ", "));
}

std::string random_argument(argument_kind kind, core::random_generator& random,
                            const config::configuration& config, std::size_t vms)
{
    const auto pick = [&](const auto& list)
    {
        return list[core::uniform_index(random, list.size())];
    };
    switch (kind)
    {
    case argument_kind::vm:
        return std::to_string(core::uniform_index(random, vms));
    case argument_kind::seconds:
        return fmt::format("{:.3f}", 0.2 + 14.0 * core::uniform(random) * core::uniform(random));
    case argument_kind::part:
        return fmt::format("{:.2f}", 0.2 * core::uniform(random));
    case argument_kind::factor:
        return fmt::format("{:.2f}", 0.5 + 5.5 * core::uniform(random));
    case argument_kind::count:
        return std::to_string(1 + core::uniform_index(random, vms - 1));
    case argument_kind::server:
        return pick(server_names(config));
    case argument_kind::account:
        return pick(config.accounts).name;
    case argument_kind::data_centre:
        return pick(config.data_centres).name;
    case argument_kind::word:
        return "word";
    case argument_kind::side:
        return core::uniform(random) < 0.5 ? "in" : "out";
    case argument_kind::reach:
        return pick(std::vector<std::string>{"first", "second", "both"});
    }
    return {};
}

const fault_kind& random_kind(core::random_generator& random)
{
    unsigned sum = 0;
    for (const fault_kind& kind : fault_kinds())
    {
        sum += kind.weight;
    }
    auto draw = static_cast<unsigned>(core::uniform_index(random, sum));
    for (const fault_kind& kind : fault_kinds())
    {
        if (draw < kind.weight)
        {
            return kind;
        }
        draw -= kind.weight;
    }
    return fault_kinds().front();
}

// A disturbed network delays messages by parts of a second, not by the length of the fault.
void limit_delay(fault& event)
{
    if (event.kind == "network")
    {
        event.arguments[2] = fmt::format("{:.3f}", std::stod(event.arguments[2]) / 20.0);
    }
    if (event.kind == "replace_all")
    {
        event.arguments[0] = fmt::format("{:.3f}", 0.3 + std::stod(event.arguments[0]) / 10.0);
    }
}

} // namespace

std::string expectation_of(argument_kind kind, std::string_view value,
                           const config::configuration& config)
{
    switch (kind)
    {
    case argument_kind::vm:
        return is_whole(value) && std::stoul(std::string(value)) < config.max_vms
                   ? std::string()
                   : fmt::format("a VM from 0 to {}", config.max_vms - 1);
    case argument_kind::seconds:
        return expect_number(value, 0.001, largest_seconds, "seconds");
    case argument_kind::part:
        return expect_number(value, 0.0, 1.0, "a part");
    case argument_kind::factor:
        return expect_number(value, 0.01, 100.0, "a factor");
    case argument_kind::count:
        return is_whole(value) && std::stoul(std::string(value)) > 0 ? std::string()
                                                                     : "a whole number above 0";
    case argument_kind::server:
    {
        const auto names = server_names(config);
        return std::find(names.begin(), names.end(), value) != names.end()
                   ? std::string()
                   : "the name of a backend server";
    }
    case argument_kind::account:
        return config::find_account(config, value) != nullptr ? std::string()
                                                              : "the name of an account";
    case argument_kind::data_centre:
        return config::find_data_centre(config, value) != nullptr ? std::string()
                                                                  : "the name of a data centre";
    case argument_kind::word:
        return {};
    case argument_kind::side:
        return expect_word(value, {"in", "out"});
    case argument_kind::reach:
        return expect_word(value, {"first", "second", "both"});
    }
    return {};
}

std::vector<fault> make_schedule(core::random_generator& random,
                                 const config::configuration& config, std::size_t vms,
                                 core::duration from, core::duration until)
{
    std::vector<fault> out;
    const std::size_t count =
        fewest_faults + core::uniform_index(random, most_faults - fewest_faults + 1);
    for (std::size_t i = 0; i < count; ++i)
    {
        const bool together = !out.empty() && core::uniform(random) < together_part;
        const bool repeated = !out.empty() && core::uniform(random) < repeated_part;
        fault event;
        event.at = together
                       ? out.back().at
                       : from + std::chrono::milliseconds(core::uniform_index(
                                    random, static_cast<std::size_t>(
                                                (until - from) / std::chrono::milliseconds(1))));
        const fault_kind& kind = repeated ? *find_fault_kind(out.back().kind) : random_kind(random);
        event.kind = kind.name;
        for (const argument_kind argument : kind.arguments)
        {
            event.arguments.push_back(random_argument(argument, random, config, vms));
        }
        limit_delay(event);
        out.push_back(std::move(event));
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const fault& a, const fault& b) { return a.at < b.at; });
    return out;
}

} // namespace zinniaferry::history
