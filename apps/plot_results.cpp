/// Renders the result lines of benchmarks as one HTML page: a bar chart per benchmark and unit,
/// with bounds and baselines as vertical lines.
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace
{

namespace json = boost::json;

struct benchmark_result
{
    std::string name; ///< BENCHMARK/FIGURE; shown as the label of the bar.
    double value = 0.0;
    std::string unit;
    std::optional<double> bound;
    std::optional<double> baseline;
    std::optional<bool> pass; ///< Whether the value is within the bound; absent without a verdict.
};

using chart_key = std::pair<std::string, std::string>; ///< Benchmark and unit.
using results_by_chart = std::map<chart_key, std::vector<benchmark_result>>;

std::optional<double> read_number(const json::object& result, const char* field)
{
    const json::value* value = result.if_contains(field);
    return value != nullptr && value->is_number() ? std::optional(value->to_number<double>())
                                                  : std::nullopt;
}

std::string read_string(const json::object& result, const char* field)
{
    const json::value* value = result.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

// Parses one line of JSON; returns nothing if it has no numeric value.
std::optional<benchmark_result> parse_result(const std::string& text)
{
    json::error_code error;
    const json::value document = json::parse(text, error);
    const json::object* result = error ? nullptr : document.if_object();
    const auto value = result != nullptr ? read_number(*result, "value") : std::nullopt;
    if (!value)
    {
        return std::nullopt;
    }
    benchmark_result out{.name = read_string(*result, "name"),
                         .value = *value,
                         .unit = read_string(*result, "unit"),
                         .bound = read_number(*result, "bound"),
                         .baseline = read_number(*result, "baseline")};
    const json::value* pass = result->if_contains("pass");
    if (pass != nullptr && pass->is_bool())
    {
        out.pass = pass->get_bool();
    }
    return out;
}

std::string escape_html(const std::string& text)
{
    std::string out;
    for (const char c : text)
    {
        switch (c)
        {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

constexpr int label_width_px = 430;
constexpr int bar_width_px = 420;
constexpr int row_height_px = 20;
constexpr int page_width_px = 1080;

// Returns the scale at which the largest value, bound or baseline fills the width of the bars.
double pixels_per_unit(const std::vector<benchmark_result>& results)
{
    double max_value = 0.0;
    for (const benchmark_result& result : results)
    {
        max_value = std::max(
            {max_value, result.value, result.bound.value_or(0.0), result.baseline.value_or(0.0)});
    }
    return max_value > 0.0 ? bar_width_px / max_value : 0.0;
}

std::string draw_marker(double value, double scale, int top, const char* css_class)
{
    const double x = label_width_px + std::max(value, 0.0) * scale;
    return fmt::format(R"(<line class="{}" x1="{:.1f}" x2="{:.1f}" y1="{}" y2="{}"/>)", css_class,
                       x, x, top + 1, top + row_height_px - 3);
}

std::string value_label(const benchmark_result& result)
{
    std::string out = fmt::format("{:.4g}", result.value);
    out += result.bound ? fmt::format(", bound {:.4g}", *result.bound) : "";
    out += result.baseline ? fmt::format(", baseline {:.4g}", *result.baseline) : "";
    return out + (result.pass ? (*result.pass ? ", pass" : ", FAIL") : "");
}

std::string draw_row(const benchmark_result& result, double scale, int top)
{
    const char* css_class = !result.pass ? "plain" : *result.pass ? "pass" : "fail";
    std::string out = fmt::format(R"(<text x="{}" y="{}" text-anchor="end">{}</text>)"
                                  R"(<rect class="{}" x="{}" y="{}" width="{:.1f}" height="{}"/>)",
                                  label_width_px - 6, top + 14, escape_html(result.name), css_class,
                                  label_width_px, top + 3, std::max(result.value, 0.0) * scale,
                                  row_height_px - 8);
    out += result.bound ? draw_marker(*result.bound, scale, top, "bound") : "";
    out += result.baseline ? draw_marker(*result.baseline, scale, top, "baseline") : "";
    return out + fmt::format(R"(<text x="{}" y="{}">{}</text>)", label_width_px + bar_width_px + 8,
                             top + 14, value_label(result));
}

std::string draw_chart(const chart_key& key, const std::vector<benchmark_result>& results)
{
    const double scale = pixels_per_unit(results);
    std::string out = fmt::format("<h2>{} ({})</h2>\n<svg width=\"{}\" height=\"{}\">\n",
                                  escape_html(key.first), escape_html(key.second), page_width_px,
                                  static_cast<int>(results.size()) * row_height_px);
    int top = 0;
    for (const benchmark_result& result : results)
    {
        out += draw_row(result, scale, top) + "\n";
        top += row_height_px;
    }
    return out + "</svg>\n";
}

constexpr const char* page_head = R"(<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Benchmark results</title>
<style>
body { font-family: sans-serif; } text { font-size: 12px; }
.pass { fill: #4a8f5a; } .fail { fill: #c0392b; } .plain { fill: #6a86a8; }
.bound { stroke: #c0392b; stroke-width: 2; } .baseline { stroke: #222; stroke-dasharray: 3 2; }
</style>
<h1>Benchmark results</h1>
<p>Bars show values, red lines bounds, dashed lines baselines. Green bars keep their bound, red bars do not, blue bars
have none.</p>
)";

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        std::cerr << "usage: plot_results RESULTS.jsonl REPORT.html\n";
        return 2;
    }
    std::ifstream in(argv[1]);
    results_by_chart charts;
    for (std::string text; std::getline(in, text);)
    {
        if (auto result = parse_result(text))
        {
            const std::string benchmark = result->name.substr(0, result->name.find('/'));
            charts[{benchmark, result->unit}].push_back(std::move(*result));
        }
    }
    std::ofstream out(argv[2]);
    out << page_head;
    for (const auto& [key, results] : charts)
    {
        out << draw_chart(key, results);
    }
    out << "</html>\n";
    if (charts.empty() || !out.flush())
    {
        std::cerr << "plot_results: no results found in " << argv[1] << ", or cannot write "
                  << argv[2] << "\n";
        return 1;
    }
    return 0;
}
