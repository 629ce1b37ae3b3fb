/// One entry daemon: listeners, peers, platform, decider, start and stop.
#pragma once

#include "config/settings.hpp"
#include "core/error.hpp"

namespace zinniaferry::net
{

/// An address of the settings that could not be listened on.
struct listen_error
{
    std::string address;
    int error_number = 0; ///< errno.
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const listen_error& error);

/// Runs the daemon until SIGTERM or SIGINT has been carried out. Errors: listen_error. To be
/// called once per process.
core::result<void> run_daemon(const config::settings& settings);

} // namespace zinniaferry::net
