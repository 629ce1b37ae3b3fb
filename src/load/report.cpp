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

// 1,600 logarithmic buckets over seven decades, each 1% wide.
constexpr double histogram_min_ms = 0.01;
constexpr double histogram_max_ms = 1e5;
constexpr unsigned bucket_count = 1600;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr std::array<std::pair<const char*, double>, 4> reported_percentiles{
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}}};

} // namespace

struct latency_histogram
{
    decltype(histogram::make_histogram(
        log_axis(bucket_count, histogram_min_ms, histogram_max_ms))) counts =
        histogram::make_histogram(log_axis(bucket_count, histogram_min_ms, histogram_max_ms));
    double sample_count = 0.0;
};

namespace
{

void count_request(request_stats& stats, const request_record& entry)
{
    ++stats.due;
    stats.sent += entry.verdict == verdict::limited ? 0 : 1;
    ++stats.outcomes[to_string(entry.outcome)];
    ++stats.verdicts[to_string(entry.verdict)];
    ++stats.statuses[entry.status];
    if (entry.outcome != outcome::answered)
    {
        return;
    }
    if (!stats.latencies)
    {
        stats.latencies = std::make_shared<latency_histogram>();
    }
    stats.latencies->counts(entry.latency.count());
    stats.latencies->sample_count += 1.0;
    stats.max_latency = std::max(stats.max_latency, entry.latency);
}

double round_to_microseconds(milliseconds value)
{
    return std::round(value.count() * 1000.0) / 1000.0;
}

json::object to_json(const request_stats& stats)
{
    json::object out{{"due", stats.due}, {"sent", stats.sent}};
    out["outcomes"] = json::value_from(stats.outcomes);
    out["verdicts"] = json::value_from(stats.verdicts);
    json::object statuses;
    for (const auto& [status, count] : stats.statuses)
    {
        statuses[std::to_string(status)] = count;
    }
    out["statuses"] = std::move(statuses);
    json::object latency;
    for (const auto& [name, fraction] : reported_percentiles)
    {
        latency[name] = round_to_microseconds(percentile(stats, fraction));
    }
    latency["max"] = round_to_microseconds(stats.max_latency);
    out["latency_ms"] = std::move(latency);
    return out;
}

std::uint64_t count_of(const std::map<std::string, std::uint64_t>& counts, const char* name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

std::string table_row(const std::string& name, const request_stats& stats)
{
    std::string line = fmt::format(
        "{:<24}{:>9}{:>10}{:>9}{:>9}", name, stats.sent, count_of(stats.outcomes, "answered"),
        count_of(stats.outcomes, "not_run"), count_of(stats.outcomes, "unknown"));
    for (const auto& [label, fraction] : reported_percentiles)
    {
        line += fmt::format("{:>10.2f}", percentile(stats, fraction).count());
    }
    return line + fmt::format("{:>10.2f}\n", stats.max_latency.count());
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

std::string to_json_line(const request_record& entry)
{
    const json::object line{{"id", entry.id},
                            {"idempotency_key", entry.idempotency_key},
                            {"route", entry.route},
                            {"account", entry.account},
                            {"target", entry.target},
                            {"daemon", entry.daemon},
                            {"server", entry.server},
                            {"idempotent", entry.idempotent},
                            {"repeat", entry.repeat},
                            {"status", entry.status},
                            {"outcome", to_string(entry.outcome)},
                            {"verdict", to_string(entry.verdict)},
                            {"at_ms", round_to_microseconds(entry.send_offset)},
                            {"latency_ms", round_to_microseconds(entry.latency)},
                            {"sent_us", entry.sent.count()},
                            {"ended_us", entry.ended.count()}};
    return json::serialize(line);
}

void count_request(run_report& report, const request_record& entry)
{
    count_request(report.total, entry);
    count_request(report.routes[entry.route], entry);
    count_request(report.accounts[entry.account], entry);
}

milliseconds percentile(const request_stats& stats, double fraction)
{
    if (!stats.latencies)
    {
        return milliseconds(0.0);
    }
    const auto& counts = stats.latencies->counts;
    const double rank = std::ceil(fraction * stats.latencies->sample_count);
    double cumulative_count = counts.at(-1); // Underflow: latencies below histogram_min_ms.
    for (int i = 0; i < static_cast<int>(bucket_count); ++i)
    {
        cumulative_count += counts.at(i);
        if (cumulative_count >= rank)
        {
            return std::min(milliseconds(counts.axis().value(i + 1)), stats.max_latency);
        }
    }
    return stats.max_latency;
}

std::uint64_t wrong_response_count(const run_report& report)
{
    return count_of(report.total.verdicts, "crossed") +
           count_of(report.total.verdicts, "truncated");
}

json::object to_json(const run_report& report, seconds elapsed)
{
    json::object out = to_json(report.total);
    out["elapsed_s"] = round_to_microseconds(elapsed) / 1000.0;
    json::object routes;
    for (const auto& [name, entry] : report.routes)
    {
        routes[name] = to_json(entry);
    }
    out["routes"] = std::move(routes);
    json::object accounts;
    for (const auto& [name, entry] : report.accounts)
    {
        accounts[name] = to_json(entry);
    }
    out["accounts"] = std::move(accounts);
    return out;
}

std::string to_text(const run_report& report, seconds elapsed)
{
    std::string text = fmt::format("{:<24}{:>9}{:>10}{:>9}{:>9}{:>10}{:>10}{:>10}{:>10}{:>10}\n",
                                   "", "sent", "answered", "not_run", "unknown", "p50 ms", "p90 ms",
                                   "p99 ms", "p99.9 ms", "max ms");
    text += table_row("all", report.total);
    for (const auto& [name, entry] : report.routes)
    {
        text += table_row("route " + name, entry);
    }
    for (const auto& [name, entry] : report.accounts)
    {
        text += table_row("account " + name, entry);
    }
    text += "statuses:";
    for (const auto& [status, count] : report.total.statuses)
    {
        text += fmt::format(" {}={}", status == 0 ? "none" : std::to_string(status), count);
    }
    text += "\nanswers:";
    for (const auto& [name, count] : report.total.verdicts)
    {
        text += fmt::format(" {}={}", name, count);
    }
    return text + fmt::format("\nelapsed: {:.2f} s\n", elapsed.count());
}

} // namespace zinniaferry::load
