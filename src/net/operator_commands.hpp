/// The commands of `zinniactl`, without the parsing of its command line.
#pragma once

#include "core/time.hpp"

#include <string>
#include <vector>

namespace zinniaferry::net
{

/// Exit codes of `zinniactl`.
inline constexpr int exit_ok = 0;
/// A difference or a questionable entry was found, a daemon did not answer, or a request is not in
/// the logs.
inline constexpr int exit_difference = 1;
inline constexpr int exit_invalid_input = 2; ///< An invalid file, address or command line.

/// Output and exit code of a command.
struct command_result
{
    int exit_code = exit_ok;
    std::string output; ///< For standard output.
    std::string error;  ///< For standard error.
};

enum class document_kind
{
    configuration,
    settings
};

struct command_options
{
    bool as_json = false;                             ///< Output as JSON instead of text.
    std::string credential;                           ///< Bearer credential of admin listeners.
    core::duration timeout = std::chrono::seconds(5); ///< For each request.
};

/// Validates a configuration or settings file, and shows what is valid in a configuration but
/// cannot be meant. Exit codes: ok, difference with such findings, invalid input. Thread safe.
command_result run_check(const std::string& file, document_kind kind,
                         const command_options& options);

/// Shows the changes from the configuration file `before` to `after`. Exit codes: ok when nothing
/// differs, difference, invalid input. Thread safe.
command_result run_diff(const std::string& before, const std::string& after,
                        const command_options& options);

/// Shows the state dump of one daemon. Exit codes: ok, difference when it does not answer with a
/// dump, invalid input for a malformed address. Thread safe.
command_result run_state(const std::string& address, const command_options& options);

/// Shows one line for each daemon. Exit codes: ok when all answered with the same version,
/// difference otherwise, invalid input for a malformed address. Thread safe.
command_result run_fleet(const std::vector<std::string>& addresses, const command_options& options);

/// Explains the outcome of the request `request_id` by the event logs in `files`. Exit codes: ok,
/// difference when the request is not in them, invalid input for a file that cannot be read. Thread
/// safe.
command_result run_explain(const std::string& request_id, const std::vector<std::string>& files,
                           const command_options& options);

} // namespace zinniaferry::net
