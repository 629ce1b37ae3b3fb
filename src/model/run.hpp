/// One run of the model, from its seed to the violations.
#pragma once

#include "model/checks.hpp"

namespace zinniaferry::model
{

struct run_options
{
    std::uint64_t seed = 1;
    std::size_t daemons = 9;
    injection injected = injection::none;
    bool store_restorations = false; ///< The store is restored from backups now and then.
    /// Daemons start again behind network partitions; these are the only disturbances then.
    bool cut_off_restarts = false;
    core::duration length = std::chrono::seconds(60); ///< Of virtual time.
};

struct run_result
{
    std::vector<violation> violations;
    std::size_t requests = 0;
    std::size_t successes = 0; ///< Requests answered with 2xx.
    std::size_t versions = 0;  ///< Configurations published.
};

/// Runs the model; equal options give equal results. Precondition: daemons > 0. Thread safe.
run_result run(const run_options& options);

} // namespace zinniaferry::model
