#include "load/report.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace zinniaferry::load
{

namespace
{

namespace json = boost::json;
namespace histogram = boost::histogram;

// Seven decades in 1,600 buckets: each is 1% wide.
constexpr double lowest_ms = 0.01;
constexpr double highest_ms = 1e5;
constexpr unsigned buckets = 1600;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr std::array<std::pair<const char*, double>, 4> shares{
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}}};

} // namespace

struct latency_histogram
{
    decltype(histogram::make_histogram(log_axis(buckets, lowest_ms, highest_ms))) counts =
        histogram::make_histogram(log_axis(buckets, lowest_ms, highest_ms));
    double total = 0.0;
};

namespace
{

void add(tally& state, const record& entry)
{
    ++state.sent;
    ++state.outcomes[to_string(entry.outcome)];
    ++state.verdicts[to_string(entry.verdict)];
    ++state.statuses[entry.status];
    if (entry.outcome != outcome::answered)
    {
        return;
    }
    if (!state.latency)
    {
        state.latency = std::make_shared<latency_histogram>();
    }
    state.latency->counts(entry.latency.count());
    state.latency->total += 1.0;
    state.max = std::max(state.max, entry.latency);
}

double round_to_microseconds(milliseconds value)
{
    return std::round(value.count() * 1000.0) / 1000.0;
}

json::object to_json(const tally& state)
{
    json::object out{{"sent", state.sent}};
    out["outcomes"] = json::value_from(state.outcomes);
    out["verdicts"] = json::value_from(state.verdicts);
    json::object statuses;
    for (const auto& [status, count] : state.statuses)
    {
        statuses[std::to_string(status)] = count;
    }
    out["statuses"] = std::move(statuses);
    json::object latency;
    for (const auto& [name, share] : shares)
    {
        latency[name] = round_to_microseconds(percentile(state, share));
    }
    latency["max"] = round_to_microseconds(state.max);
    out["latency_ms"] = std::move(latency);
    return out;
}

std::uint64_t count_of(const std::map<std::string, std::uint64_t>& counts, const char* name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

std::string text_line(const std::string& name, const tally& state)
{
    std::string line = fmt::format(
        "{:<24}{:>9}{:>10}{:>9}{:>9}", name, state.sent, count_of(state.outcomes, "answered"),
        count_of(state.outcomes, "not_run"), count_of(state.outcomes, "unknown"));
    for (const auto& [label, share] : shares)
    {
        line += fmt::format("{:>10.2f}", percentile(state, share).count());
    }
    return line + fmt::format("{:>10.2f}\n", state.max.count());
}

} // namespace

const char* to_string(outcome value)
{
    static constexpr const char* names[] = {"answered", "not_run", "unknown"};
    return names[static_cast<int>(value)];
}

const char* to_string(verdict value)
{
    static constexpr const char* names[] = {"whole",   "crossed", "truncated", "cut",
                                            "timeout", "refused", "limited"};
    return names[static_cast<int>(value)];
}

std::string to_line(const record& entry)
{
    const json::object line{{"id", entry.id},
                            {"idempotency_key", entry.idempotency_key},
                            {"route", entry.route},
                            {"account", entry.account},
                            {"target", entry.target},
                            {"idempotent", entry.idempotent},
                            {"repeat", entry.repeat},
                            {"status", entry.status},
                            {"outcome", to_string(entry.outcome)},
                            {"verdict", to_string(entry.verdict)},
                            {"at_ms", round_to_microseconds(entry.at)},
                            {"latency_ms", round_to_microseconds(entry.latency)}};
    return json::serialize(line);
}

void add(report& state, const record& entry)
{
    add(state.all, entry);
    add(state.routes[entry.route], entry);
    add(state.accounts[entry.account], entry);
}

milliseconds percentile(const tally& state, double share)
{
    if (!state.latency)
    {
        return milliseconds(0.0);
    }
    const auto& counts = state.latency->counts;
    const double wanted = std::ceil(share * state.latency->total);
    double seen = counts.at(-1); // Below the lowest bucket.
    for (int i = 0; i < static_cast<int>(buckets); ++i)
    {
        seen += counts.at(i);
        if (seen >= wanted)
        {
            return std::min(milliseconds(counts.axis().value(i + 1)), state.max);
        }
    }
    return state.max;
}

std::uint64_t wrong_answers(const report& state)
{
    return count_of(state.all.verdicts, "crossed") + count_of(state.all.verdicts, "truncated");
}

json::object to_json(const report& state, seconds elapsed)
{
    json::object out = to_json(state.all);
    out["elapsed_s"] = round_to_microseconds(elapsed) / 1000.0;
    json::object routes;
    for (const auto& [name, entry] : state.routes)
    {
        routes[name] = to_json(entry);
    }
    out["routes"] = std::move(routes);
    json::object accounts;
    for (const auto& [name, entry] : state.accounts)
    {
        accounts[name] = to_json(entry);
    }
    out["accounts"] = std::move(accounts);
    return out;
}

std::string to_text(const report& state, seconds elapsed)
{
    std::string text = fmt::format("{:<24}{:>9}{:>10}{:>9}{:>9}{:>10}{:>10}{:>10}{:>10}{:>10}\n",
                                   "", "sent", "answered", "not_run", "unknown", "p50 ms", "p90 ms",
                                   "p99 ms", "p99.9 ms", "max ms");
    text += text_line("all", state.all);
    for (const auto& [name, entry] : state.routes)
    {
        text += text_line("route " + name, entry);
    }
    for (const auto& [name, entry] : state.accounts)
    {
        text += text_line("account " + name, entry);
    }
    text += "statuses:";
    for (const auto& [status, count] : state.all.statuses)
    {
        text += fmt::format(" {}={}", status == 0 ? "none" : std::to_string(status), count);
    }
    text += "\nanswers:";
    for (const auto& [name, count] : state.all.verdicts)
    {
        text += fmt::format(" {}={}", name, count);
    }
    return text + fmt::format("\nelapsed: {:.2f} s\n", elapsed.count());
}

} // namespace zinniaferry::load
