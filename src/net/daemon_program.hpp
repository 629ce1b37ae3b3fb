/// What the programs of the daemon share: help, version, and exit codes for errors.
#pragma once

#include "core/error.hpp"

#include <cxxopts.hpp>

#include <functional>

namespace zinniaferry::net
{

inline constexpr int exit_failure = 1;     ///< The daemon could not run.
inline constexpr int exit_usage_error = 2; ///< Command line or settings are wrong.

/// A command line that lacks something.
struct usage_error
{
    std::string what;
};

/// Parses the command line and runs `body`, whose errors are reported on standard error. Returns
/// the exit code for main. Not thread safe.
int run_daemon_program(cxxopts::Options& options, int argc, char** argv,
                       const std::function<core::result<int>(const cxxopts::ParseResult&)>& body);

} // namespace zinniaferry::net
