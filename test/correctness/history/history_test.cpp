// Runs of the history check with fixed seeds, the deliberate faults, and the recorded traces.
#include "history/report.hpp"
#include "history/trace.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace zinniaferry::history
{
namespace
{

run_report run_seed(std::uint64_t seed, const char* deployment, injection inject = injection::none)
{
    const run_options options{.seed = seed, .deployment = deployment, .inject = inject};
    return run_history(options, make_faults(options));
}

trace read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return boost::leaf::try_handle_all([&] { return read_trace(text, path.string()); },
                                       [](const core::document_error& error)
                                       {
                                           ADD_FAILURE() << core::to_string(error);
                                           return trace{};
                                       },
                                       []
                                       {
                                           ADD_FAILURE() << "an error without a type";
                                           return trace{};
                                       });
}

struct seed_case
{
    std::uint64_t seed;
    const char* deployment;
};

class history_seeds : public testing::TestWithParam<seed_case>
{
};

// Guards R1 to R11 of the whole decision code under random faults.
TEST_P(history_seeds, keep_every_guarantee)
{
    const run_report report = run_seed(GetParam().seed, GetParam().deployment);
    EXPECT_EQ(violation_count(report), 0U) << print_trace(report, report.faults);
    // A fleet that refuses everything would keep every guarantee.
    EXPECT_GT(value_of(report, "answered"), 0.4 * value_of(report, "calls"));
}

INSTANTIATE_TEST_SUITE_P(both_deployments, history_seeds,
                         testing::Values(seed_case{1, "kandy"}, seed_case{2, "tanrend"},
                                         seed_case{3, "kandy"}, seed_case{338, "tanrend"}));

struct injection_case
{
    injection inject;
    const char* counter;
};

class history_injections : public testing::TestWithParam<injection_case>
{
};

// Guards against checks that cannot fail.
TEST_P(history_injections, are_caught)
{
    const run_report report = run_seed(1, "kandy", GetParam().inject);
    EXPECT_GT(value_of(report, GetParam().counter), 0.0);
}

INSTANTIATE_TEST_SUITE_P(deliberate_faults, history_injections,
                         testing::Values(injection_case{injection::double_grant, "R5.violations"},
                                         injection_case{injection::blind_retry, "R8.violations"},
                                         injection_case{injection::version_revert,
                                                        "R11.violations"},
                                         injection_case{injection::stale_key, "R4.violations"}));

// Guards against a run that depends on addresses or on the order of a hash table.
TEST(history, repeats_from_its_seed)
{
    const run_report first = run_seed(5, "kandy");
    const run_report second = run_seed(5, "kandy");
    EXPECT_EQ(first.digest, second.digest);
    EXPECT_EQ(first.counters, second.counters);
    EXPECT_NE(first.digest, run_seed(6, "kandy").digest);
}

// Guards against a shortened trace that no longer shows the violation, or cannot be read back.
TEST(history, shortened_trace_still_violates)
{
    const run_options options{.deployment = "kandy",
                              .inject = injection::version_revert,
                              .length = std::chrono::seconds(40)};
    const std::vector<fault> faults = {
        {std::chrono::seconds(24), "cold_server", {"orders-1"}},
        {std::chrono::seconds(25), "withdraw_key", {"galle-furniture"}}};
    const run_report report = run_history(options, faults);
    ASSERT_GT(violation_count(report), 0U);
    EXPECT_TRUE(shorten(report).empty()) << "the deliberate fault needs none of them";
    const auto read = read_trace(print_trace(report, faults), "printed");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->faults, faults);
}

class history_traces : public testing::TestWithParam<std::filesystem::path>
{
};

// Guards the stated outcome of each recorded trace.
TEST_P(history_traces, have_their_stated_outcome)
{
    const trace recorded = read_file(GetParam());
    const run_report report = replay(recorded);
    for (const expectation& stated : recorded.outcome)
    {
        EXPECT_TRUE(holds(stated, report))
            << stated.counter << " " << stated.comparison << " " << stated.number << " but is "
            << value_of(report, stated.counter) << "\n"
            << print_trace(report, report.faults);
    }
}

std::vector<std::filesystem::path> trace_files()
{
    std::vector<std::filesystem::path> out;
    for (const auto& entry : std::filesystem::directory_iterator(ZINNIA_SOURCE_DIR "/test/traces"))
    {
        out.push_back(entry.path());
    }
    std::sort(out.begin(), out.end());
    return out;
}

INSTANTIATE_TEST_SUITE_P(recorded, history_traces, testing::ValuesIn(trace_files()),
                         [](const auto& info) { return info.param.stem().string(); });

} // namespace
} // namespace zinniaferry::history
