/// Runs a model of a fleet in virtual time, with disturbances from a seed, and checks the
/// fleet-wide promises.
#include "model/run.hpp"
#include "stand_in/program.hpp"

#include <cxxopts.hpp>

#include <cstdio>

namespace
{

using namespace zinniaferry;

void print_injections()
{
    for (const model::injection value : model::all_injections())
    {
        std::printf("%-24s %s\n", std::string(model::to_string(value)).c_str(),
                    std::string(model::to_string(model::broken_promise(value))).c_str());
    }
}

// Prints the violations of one run. Returns their number.
std::size_t check_seed(const model::run_options& options)
{
    const model::run_result result = model::run(options);
    for (const model::violation& entry : result.violations)
    {
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(options.seed),
                    model::to_string(entry).c_str());
    }
    std::printf("seed %llu: %zu violations; %zu requests, %zu successes, %zu versions\n",
                static_cast<unsigned long long>(options.seed), result.violations.size(),
                result.requests, result.successes, result.versions);
    return result.violations.size();
}

core::result<int> run(const cxxopts::ParseResult& options)
{
    if (options["list-injections"].as<bool>())
    {
        print_injections();
        return 0;
    }
    const auto name = options["inject"].as<std::string>();
    const auto injected = model::injection_from(name);
    const auto daemons = options["daemons"].as<std::size_t>();
    if ((!name.empty() && !injected) || daemons == 0)
    {
        std::fprintf(stderr, "fleet_check: --inject needs a name of --list-injections, and "
                             "--daemons at least 1\n");
        return stand_in::usage_exit_code;
    }
    const auto first = options["seed"].as<std::uint64_t>();
    std::size_t violations = 0;
    for (std::uint64_t i = 0; i < options["seeds"].as<std::uint64_t>(); ++i)
    {
        violations += check_seed({.seed = first + i,
                                  .daemons = daemons,
                                  .injected = injected.value_or(model::injection::none),
                                  .store_restorations = options["restore-store"].as<bool>(),
                                  .cut_off_restarts = options["cut-off-restarts"].as<bool>()});
    }
    return violations > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("fleet_check",
                             "Checks the fleet-wide promises by a model of a fleet.\n"
                             "Exit code 1: violations were found; 2: invalid options");
    // clang-format off
    options.add_options()
        ("seed", "Seed of the first run", cxxopts::value<std::uint64_t>()->default_value("1"))
        ("seeds", "Number of runs, with consecutive seeds",
            cxxopts::value<std::uint64_t>()->default_value("1"))
        ("daemons", "Daemons of the fleet", cxxopts::value<std::size_t>()->default_value("9"))
        ("inject", "Deliberate fault to turn on", cxxopts::value<std::string>()->default_value(""))
        ("restore-store", "Restore the store from backups now and then",
            cxxopts::value<bool>()->default_value("false"))
        ("cut-off-restarts", "Daemons start again behind network partitions, and nothing else happens",
            cxxopts::value<bool>()->default_value("false"))
        ("list-injections", "Print the deliberate faults and the promises that they break",
            cxxopts::value<bool>()->default_value("false"));
    // clang-format on
    return stand_in::run_program(options, argc, argv, run);
}
