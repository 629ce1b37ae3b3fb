/// Turns result lines of benchmarks into one HTML page: a bar chart per benchmark and unit, with
/// bounds and baselines as marks.
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

struct result_line
{
    std::string name;
    double value = 0.0;
    std::string unit;
    std::optional<double> bound;
    std::optional<double> baseline;
    std::optional<bool> pass;
};

using chart_key = std::pair<std::string, std::string>; ///< Benchmark and unit.
using charts = std::map<chart_key, std::vector<result_line>>;

std::optional<double> number_of(const json::object& line, const char* field)
{
    const json::value* value = line.if_contains(field);
    return value != nullptr && value->is_number() ? std::optional(value->to_number<double>())
                                                  : std::nullopt;
}

std::string text_of(const json::object& line, const char* field)
{
    const json::value* value = line.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

// Returns nothing for a line that is not a figure.
std::optional<result_line> read_line(const std::string& text)
{
    json::error_code error;
    const json::value document = json::parse(text, error);
    const json::object* line = error ? nullptr : document.if_object();
    const auto value = line != nullptr ? number_of(*line, "value") : std::nullopt;
    if (!value)
    {
        return std::nullopt;
    }
    result_line out{.name = text_of(*line, "name"),
                    .value = *value,
                    .unit = text_of(*line, "unit"),
                    .bound = number_of(*line, "bound"),
                    .baseline = number_of(*line, "baseline")};
    const json::value* pass = line->if_contains("pass");
    if (pass != nullptr && pass->is_bool())
    {
        out.pass = pass->get_bool();
    }
    return out;
}

std::string escape(const std::string& text)
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

constexpr int label_width = 430;
constexpr int bar_width = 420;
constexpr int row_height = 20;
constexpr int page_width = 1080;

double scale_of(const std::vector<result_line>& lines)
{
    double highest = 0.0;
    for (const result_line& line : lines)
    {
        highest =
            std::max({highest, line.value, line.bound.value_or(0.0), line.baseline.value_or(0.0)});
    }
    return highest > 0.0 ? bar_width / highest : 0.0;
}

std::string mark(double value, double scale, int top, const char* kind)
{
    const double x = label_width + std::max(value, 0.0) * scale;
    return fmt::format(R"(<line class="{}" x1="{:.1f}" x2="{:.1f}" y1="{}" y2="{}"/>)", kind, x, x,
                       top + 1, top + row_height - 3);
}

std::string numbers_of(const result_line& line)
{
    std::string out = fmt::format("{:.4g}", line.value);
    out += line.bound ? fmt::format(", bound {:.4g}", *line.bound) : "";
    out += line.baseline ? fmt::format(", baseline {:.4g}", *line.baseline) : "";
    return out + (line.pass ? (*line.pass ? ", pass" : ", FAIL") : "");
}

std::string draw_row(const result_line& line, double scale, int top)
{
    const char* kind = !line.pass ? "plain" : *line.pass ? "pass" : "fail";
    std::string out = fmt::format(R"(<text x="{}" y="{}" text-anchor="end">{}</text>)"
                                  R"(<rect class="{}" x="{}" y="{}" width="{:.1f}" height="{}"/>)",
                                  label_width - 6, top + 14, escape(line.name), kind, label_width,
                                  top + 3, std::max(line.value, 0.0) * scale, row_height - 8);
    out += line.bound ? mark(*line.bound, scale, top, "bound") : "";
    out += line.baseline ? mark(*line.baseline, scale, top, "baseline") : "";
    return out + fmt::format(R"(<text x="{}" y="{}">{}</text>)", label_width + bar_width + 8,
                             top + 14, numbers_of(line));
}

std::string draw_chart(const chart_key& key, const std::vector<result_line>& lines)
{
    const double scale = scale_of(lines);
    std::string out =
        fmt::format("<h2>{} ({})</h2>\n<svg width=\"{}\" height=\"{}\">\n", escape(key.first),
                    escape(key.second), page_width, static_cast<int>(lines.size()) * row_height);
    int top = 0;
    for (const result_line& line : lines)
    {
        out += draw_row(line, scale, top) + "\n";
        top += row_height;
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
<p>Bars are values, red lines bounds, dashed lines baselines. Green bars keep their bound, red bars do not, blue bars
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
    charts all;
    for (std::string text; std::getline(in, text);)
    {
        if (auto line = read_line(text))
        {
            const std::string benchmark = line->name.substr(0, line->name.find('/'));
            all[{benchmark, line->unit}].push_back(std::move(*line));
        }
    }
    std::ofstream out(argv[2]);
    out << page_head;
    for (const auto& [key, lines] : all)
    {
        out << draw_chart(key, lines);
    }
    out << "</html>\n";
    if (all.empty() || !out.flush())
    {
        std::cerr << "plot_results: no figures in " << argv[1] << " or " << argv[2]
                  << " cannot be written\n";
        return 1;
    }
    return 0;
}
