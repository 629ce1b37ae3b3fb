/// Runs a fleet of real deciders in virtual time under random faults and checks the guarantees.
#include "history/report.hpp"
#include "stand_in/program.hpp"

#include <cxxopts.hpp>

#include <cstdio>

namespace
{

using namespace zinniaferry;

boost::leaf::error_id wrong_option(const char* name, std::string value, const char* expected)
{
    return boost::leaf::new_error(core::document_error{
        .file = "options", .path = name, .value = std::move(value), .expected = expected});
}

core::result<limits::strategy> read_strategy(const std::string& name)
{
    for (const limits::strategy& way : limits::all_strategies)
    {
        if (name == way.name)
        {
            return way;
        }
    }
    return wrong_option("--strategy", name,
                        "static_share, hashed_owner, seats_and_loans or seats_pool_and_loans");
}

core::result<history::injection> read_injection(const std::string& name)
{
    using enum history::injection;
    constexpr std::array<std::pair<const char*, history::injection>, 5> names = {
        {{"", none},
         {"double_grant", double_grant},
         {"blind_retry", blind_retry},
         {"version_revert", version_revert},
         {"stale_key", stale_key}}};
    for (const auto& [known, value] : names)
    {
        if (name == known)
        {
            return value;
        }
    }
    return wrong_option("--inject", name, "double_grant, blind_retry, version_revert or stale_key");
}

void print_violation(const history::run_report& report, bool shorten)
{
    std::fprintf(stderr, "violation with seed %llu, deployment %s\n",
                 static_cast<unsigned long long>(report.options.seed),
                 report.options.deployment.c_str());
    if (!shorten)
    {
        return;
    }
    const std::vector<history::fault> fewer = history::shorten(report);
    const history::run_report shown = history::run_history(report.options, fewer);
    std::fprintf(stderr, "shortest trace found, %zu of %zu faults:\n%s", fewer.size(),
                 report.faults.size(), history::print_trace(shown, fewer).c_str());
}

core::result<int> run(const cxxopts::ParseResult& options)
{
    history::run_options chosen;
    chosen.deployment = options["deployment"].as<std::string>();
    if (!history::find_deployment(chosen.deployment))
    {
        return wrong_option("--deployment", chosen.deployment, "kandy or tanrend");
    }
    BOOST_LEAF_ASSIGN(chosen.way, read_strategy(options["strategy"].as<std::string>()));
    BOOST_LEAF_ASSIGN(chosen.inject, read_injection(options["inject"].as<std::string>()));
    const auto runs = options["runs"].as<std::uint64_t>();
    history::run_report sum;
    std::uint64_t bad_runs = 0;
    for (std::uint64_t i = 0; i < runs; ++i)
    {
        chosen.seed = options["seed"].as<std::uint64_t>() + i;
        const history::run_report report =
            history::run_history(chosen, history::make_faults(chosen));
        if (history::violation_count(report) > 0 && bad_runs++ == 0)
        {
            print_violation(report, !options["no-shorten"].as<bool>());
        }
        else if (history::violation_count(report) > 0)
        {
            print_violation(report, false);
        }
        history::add_report(sum, report);
    }
    std::printf("%s\n", options["json"].as<bool>()
                            ? boost::json::serialize(history::to_json(sum)).c_str()
                            : history::print_report(sum).c_str());
    std::printf("%llu runs, %llu with violations\n", static_cast<unsigned long long>(runs),
                static_cast<unsigned long long>(bad_runs));
    return bad_runs == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("history_check",
                             "Checks the guarantees on a fleet in virtual time under faults.\n"
                             "Exit code 1: a violation; 2: wrong options");
    // clang-format off
    options.add_options()
        ("seed", "Seed of the first run", cxxopts::value<std::uint64_t>()->default_value("1"))
        ("runs", "Number of runs, each with the next seed",
            cxxopts::value<std::uint64_t>()->default_value("1"))
        ("deployment", "kandy or tanrend", cxxopts::value<std::string>()->default_value("kandy"))
        ("strategy", "Way to divide the accounts' limits",
            cxxopts::value<std::string>()->default_value("seats_pool_and_loans"))
        ("inject", "Deliberate fault: double_grant, blind_retry, version_revert or stale_key",
            cxxopts::value<std::string>()->default_value(""))
        ("no-shorten", "Do not look for the shortest trace of a violation",
            cxxopts::value<bool>()->default_value("false"))
        ("json", "Print the counts as JSON", cxxopts::value<bool>()->default_value("false"));
    // clang-format on
    return zinniaferry::stand_in::run_program(options, argc, argv, run);
}
