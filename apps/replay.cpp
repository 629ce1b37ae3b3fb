/// Replays recorded traces on the real deciders and compares the outcome with the stated one.
#include "history/report.hpp"
#include "history/trace.hpp"
#include "stand_in/program.hpp"

#include <cxxopts.hpp>

#include <cstdio>

namespace
{

using namespace zinniaferry;

core::result<bool> replay_file(const std::string& file, bool verbose)
{
    BOOST_LEAF_AUTO(text, stand_in::read_file(file));
    BOOST_LEAF_AUTO(recorded, history::read_trace(text, file));
    const history::run_report report = history::replay(recorded);
    bool passed = true;
    std::printf("%s\n", file.c_str());
    for (const history::expectation& stated : recorded.outcome)
    {
        const bool good = history::holds(stated, report);
        passed = passed && good;
        std::printf("  %s  %s %s %g (is %g)\n", good ? "pass" : "FAIL", stated.counter.c_str(),
                    stated.comparison.c_str(), stated.number,
                    history::value_of(report, stated.counter));
    }
    for (const std::string& line : report.trace)
    {
        std::printf("  violation at %s\n", line.c_str());
    }
    if (verbose)
    {
        std::printf("%s", history::print_report(report).c_str());
    }
    return passed;
}

core::result<int> run(const cxxopts::ParseResult& options)
{
    const auto files = options["files"].as<std::vector<std::string>>();
    bool passed = true;
    for (const std::string& file : files)
    {
        BOOST_LEAF_AUTO(good, replay_file(file, options["counts"].as<bool>()));
        passed = passed && good;
    }
    return passed ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("replay", "Replays recorded traces and checks their stated outcome.\n"
                                       "Exit code 1: an outcome differs; 2: a wrong file");
    options.add_options()("files", "Trace files", cxxopts::value<std::vector<std::string>>())(
        "counts", "Print all counts", cxxopts::value<bool>()->default_value("false"));
    options.parse_positional("files");
    options.positional_help("FILE...");
    return stand_in::run_program(options, argc, argv, run);
}
