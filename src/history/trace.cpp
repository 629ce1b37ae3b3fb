#include "history/trace.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>

namespace zinniaferry::history
{

namespace
{

constexpr double longest_run = 7200;    ///< Seconds.
constexpr double longest_tick_ms = 200; ///< Less than what counts as a pause.
constexpr double largest_seed = 9e15;

/// Counters that exist without a name of a fault, refusal, account or key in them.
constexpr std::array<std::string_view, 22> plain_counters = {"answered",
                                                             "calls",
                                                             "calls.cut",
                                                             "calls.hung_up",
                                                             "executions",
                                                             "lowest_version",
                                                             "messages",
                                                             "messages.cut",
                                                             "messages.doubled",
                                                             "messages.lost",
                                                             "orders",
                                                             "orders.doubled",
                                                             "orders.executed",
                                                             "orders.repeated",
                                                             "outcome.not_run",
                                                             "outcome.unknown",
                                                             "probes",
                                                             "versions",
                                                             "R3.cut_off",
                                                             "R9.cut_off",
                                                             "R4.majority_without_service",
                                                             "R2.in_flight_at_unannounced_turn"};
constexpr std::array<std::string_view, 4> account_counters = {"admitted", "over_limit", "wrongful",
                                                              "ideal"};

struct line_reader
{
    const std::string& file;
    std::size_t number = 0;
    std::vector<std::string> words;
    std::optional<deployment_start> start{};
    trace out{};

    boost::leaf::error_id wrong(std::string value, std::string expected) const
    {
        return boost::leaf::new_error(core::document_error{.file = file,
                                                           .path = fmt::format("line {}", number),
                                                           .value = std::move(value),
                                                           .expected = std::move(expected)});
    }
};

std::vector<std::string> split_words(std::string_view line)
{
    line = line.substr(0, line.find('#'));
    std::vector<std::string> out;
    std::string word;
    for (const char c : line)
    {
        if (c != ' ' && c != '\t' && c != '\r')
        {
            word += c;
        }
        else if (!word.empty())
        {
            out.push_back(std::move(word));
            word.clear();
        }
    }
    if (!word.empty())
    {
        out.push_back(std::move(word));
    }
    return out;
}

std::optional<double> read_number(const std::string& text)
{
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value)
                                                                    : std::nullopt;
}

core::result<double> read_bounded(const line_reader& reader, std::size_t word, double low,
                                  double high, bool whole)
{
    const auto number = reader.words.size() > word ? read_number(reader.words[word]) : std::nullopt;
    const bool good =
        number && *number >= low && *number <= high &&
        (!whole || *number == static_cast<double>(static_cast<std::int64_t>(*number)));
    if (!good)
    {
        return reader.wrong(
            reader.words.size() > word ? reader.words[word] : "nothing",
            fmt::format("{} from {} to {}", whole ? "a whole number" : "a number", low, high));
    }
    return *number;
}

core::result<void> read_strategy(line_reader& reader)
{
    for (const limits::strategy& way : limits::all_strategies)
    {
        if (reader.words[1] == way.name)
        {
            reader.out.options.way = way;
            return {};
        }
    }
    return reader.wrong(reader.words[1],
                        "static_share, hashed_owner, seats_and_loans or seats_pool_and_loans");
}

core::result<void> read_setting(line_reader& reader)
{
    run_options& options = reader.out.options;
    const std::string& name = reader.words[0];
    if (reader.words.size() != 2)
    {
        return reader.wrong(fmt::format("{}", fmt::join(reader.words, " ")),
                            "a name and one value");
    }
    if (name == "deployment")
    {
        options.deployment = reader.words[1];
        reader.start = find_deployment(options.deployment);
        return reader.start ? core::result<void>()
                            : reader.wrong(options.deployment, "kandy or tanrend");
    }
    if (name == "strategy")
    {
        return read_strategy(reader);
    }
    if (name == "seed")
    {
        BOOST_LEAF_AUTO(value, read_bounded(reader, 1, 0, largest_seed, true));
        options.seed = static_cast<std::uint64_t>(value);
        return {};
    }
    if (name == "vms")
    {
        BOOST_LEAF_AUTO(value,
                        read_bounded(reader, 1, 1, reader.start->configuration.max_vms, true));
        options.vms = static_cast<std::size_t>(value);
        return {};
    }
    if (name == "part_of_rate")
    {
        BOOST_LEAF_ASSIGN(options.part_of_rate, read_bounded(reader, 1, 0.001, 20, false));
        return {};
    }
    if (name == "tick_ms")
    {
        BOOST_LEAF_AUTO(value, read_bounded(reader, 1, 1, longest_tick_ms, true));
        options.tick = std::chrono::milliseconds(static_cast<std::int64_t>(value));
        return {};
    }
    BOOST_LEAF_AUTO(value, read_bounded(reader, 1, 1, longest_run, false));
    options.length = core::from_seconds(value);
    return {};
}

core::result<void> read_fault(line_reader& reader)
{
    BOOST_LEAF_AUTO(at, read_bounded(reader, 1, 0, longest_run, false));
    if (reader.words.size() < 3)
    {
        return reader.wrong("nothing", "the name of a fault");
    }
    const fault_kind* kind = find_fault_kind(reader.words[2]);
    if (kind == nullptr)
    {
        return reader.wrong(reader.words[2], "the name of a fault");
    }
    if (reader.words.size() != 3 + kind->arguments.size())
    {
        return reader.wrong(fmt::format("{} arguments", reader.words.size() - 3),
                            fmt::format("{} for {}", kind->arguments.size(), kind->name));
    }
    fault event{.at = core::from_seconds(at), .kind = reader.words[2]};
    for (std::size_t i = 0; i < kind->arguments.size(); ++i)
    {
        const std::string& value = reader.words[3 + i];
        std::string expected =
            expectation_of(kind->arguments[i], value, reader.start->configuration);
        if (!expected.empty())
        {
            return reader.wrong(value, std::move(expected));
        }
        event.arguments.push_back(value);
    }
    reader.out.faults.push_back(std::move(event));
    return {};
}

bool is_guarantee_counter(const std::string& name)
{
    for (std::size_t i = 1; i < guarantee_count; ++i)
    {
        if (name == fmt::format("R{}.checks", i) || name == fmt::format("R{}.violations", i))
        {
            return true;
        }
    }
    return false;
}

bool is_account_counter(const std::string& name, const config::configuration& config)
{
    for (const config::account& account : config.accounts)
    {
        for (const std::string_view counter : account_counters)
        {
            if (name == fmt::format("account.{}.{}", account.name, counter))
            {
                return true;
            }
        }
    }
    return false;
}

// A misspelt counter would always be 0, so only known names are accepted.
bool is_counter(const line_reader& reader, const std::string& name)
{
    using node::request_error;
    constexpr auto last_error = static_cast<int>(request_error::cancelled);
    bool known =
        is_guarantee_counter(name) || name == "R2.sent_without_knowing" ||
        is_account_counter(name, reader.start->configuration) ||
        std::find(plain_counters.begin(), plain_counters.end(), name) != plain_counters.end() ||
        (name.starts_with("fault.") && find_fault_kind(name.substr(6)) != nullptr);
    for (int error = 0; error <= last_error; ++error)
    {
        known |=
            name == fmt::format("refused.{}", node::to_string(static_cast<request_error>(error)));
    }
    for (const fault& event : reader.out.faults)
    {
        known |= event.kind == "order" &&
                 name == fmt::format("executions.{}/{}", event.arguments[0], event.arguments[1]);
    }
    return known;
}

core::result<void> read_expectation(line_reader& reader)
{
    if (reader.words.size() != 4)
    {
        return reader.wrong(fmt::format("{} words", reader.words.size()),
                            "expect COUNTER COMPARISON NUMBER");
    }
    expectation stated{.counter = reader.words[1], .comparison = reader.words[2]};
    if (!is_counter(reader, stated.counter))
    {
        return reader.wrong(stated.counter, "the name of a counter");
    }
    if (stated.comparison != "==" && stated.comparison != ">=" && stated.comparison != "<=")
    {
        return reader.wrong(stated.comparison, "==, >= or <=");
    }
    BOOST_LEAF_ASSIGN(stated.number, read_bounded(reader, 3, 0, largest_seed, false));
    reader.out.outcome.push_back(std::move(stated));
    return {};
}

core::result<void> read_line(line_reader& reader)
{
    constexpr std::array<std::string_view, 7> settings = {
        "tick_ms", "deployment", "seed", "vms", "strategy", "part_of_rate", "length"};
    const std::string& first = reader.words[0];
    if (!reader.start && first != "deployment")
    {
        return reader.wrong(first, "deployment on the first line");
    }
    if (std::find(settings.begin(), settings.end(), first) != settings.end())
    {
        return read_setting(reader);
    }
    if (first == "at")
    {
        return read_fault(reader);
    }
    if (first == "expect")
    {
        return read_expectation(reader);
    }
    return reader.wrong(first, "a setting, at or expect");
}

} // namespace

core::result<trace> read_trace(std::string_view text, const std::string& file)
{
    line_reader reader{.file = file};
    while (!text.empty())
    {
        const std::size_t end = std::min(text.find('\n'), text.size());
        reader.words = split_words(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        ++reader.number;
        if (!reader.words.empty())
        {
            BOOST_LEAF_CHECK(read_line(reader));
        }
    }
    if (!reader.start)
    {
        return reader.wrong("the end of the file", "a deployment");
    }
    if (reader.out.outcome.empty())
    {
        return reader.wrong("the end of the file", "at least one line with expect");
    }
    return std::move(reader.out);
}

double value_of(const run_report& report, const std::string& counter)
{
    for (std::size_t i = 1; i < guarantee_count; ++i)
    {
        const guarantee& entry = report.guarantees.at(i);
        if (counter == fmt::format("R{}.checks", i))
        {
            return static_cast<double>(entry.checks);
        }
        if (counter == fmt::format("R{}.violations", i))
        {
            return static_cast<double>(entry.violations);
        }
    }
    for (const auto& [name, bucket] : report.accounts)
    {
        const std::array<std::uint64_t, account_counters.size()> values = {
            bucket.admitted, bucket.over_limit, bucket.wrongful, bucket.ideal};
        for (std::size_t i = 0; i < values.size(); ++i)
        {
            if (counter == fmt::format("account.{}.{}", name, account_counters.at(i)))
            {
                return static_cast<double>(values.at(i));
            }
        }
    }
    const auto found = report.counters.find(counter);
    return found == report.counters.end() ? 0.0 : found->second;
}

bool holds(const expectation& stated, const run_report& report)
{
    const double value = value_of(report, stated.counter);
    return stated.comparison == "=="   ? value == stated.number
           : stated.comparison == ">=" ? value >= stated.number
                                       : value <= stated.number;
}

run_report replay(const trace& recorded)
{
    return run_history(recorded.options, recorded.faults);
}

} // namespace zinniaferry::history
