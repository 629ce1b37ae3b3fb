/// The commands of `zinniactl`, apart from its command line.
#pragma once

#include "core/time.hpp"

#include <string>
#include <vector>

namespace zinniaferry::net
{

/// Exit codes of `zinniactl`.
inline constexpr int exit_ok = 0;
inline constexpr int exit_difference = 1; ///< A difference was found, or a VM did not answer.
inline constexpr int exit_invalid_input = 2;

/// What a command writes and how it ends.
struct command_result
{
    int exit_code = exit_ok;
    std::string output; ///< For the standard output.
    std::string error;  ///< For the standard error.
};

enum class document_kind
{
    configuration,
    settings
};

struct command_options
{
    bool as_json = false;
    std::string credential; ///< For admin listeners.
    core::duration timeout = std::chrono::seconds(5);
};

/// Checks a file. Exit codes: good, wrong input. Thread safe.
command_result run_check(const std::string& file, document_kind kind,
                         const command_options& options);

/// Tells what `after` would change. Exit codes: good when nothing differs, difference, wrong
/// input. Thread safe.
command_result run_diff(const std::string& before, const std::string& after,
                        const command_options& options);

/// Shows the state dump of one daemon. Exit codes: good, difference when it does not answer, wrong
/// input for a malformed address. Thread safe.
command_result run_state(const std::string& address, const command_options& options);

/// Shows one line for each daemon. Exit codes: good when all answered with one version, difference
/// otherwise, wrong input for a malformed address. Thread safe.
command_result run_fleet(const std::vector<std::string>& addresses, const command_options& options);

} // namespace zinniaferry::net
