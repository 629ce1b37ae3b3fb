/// Shared main function of the daemon programs: help, version, and exit codes for errors.
#pragma once

#include "core/error.hpp"

#include <cxxopts.hpp>

#include <functional>

namespace zinniaferry::net
{

inline constexpr int exit_failure = 1;     ///< The daemon could not run.
inline constexpr int exit_usage_error = 2; ///< The command line or the settings are invalid.

/// A required argument is missing from the command line.
struct usage_error
{
    std::string what; ///< The problem, as one line for the user.
};

/// Adds --help and --version, parses the command line and calls `body`. Errors are reported on
/// standard error. Returns the exit code for main. Not thread safe.
int run_daemon_program(cxxopts::Options& options, int argc, char** argv,
                       const std::function<core::result<int>(const cxxopts::ParseResult&)>& body);

} // namespace zinniaferry::net
