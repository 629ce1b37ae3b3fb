/// Library with which operators describe a deployment in C++ with designated initialisers. The
/// builder checks the deployment and prints the configuration. Keys are given as plain text; only
/// their digests are printed.
#pragma once

#include "config/model.hpp"
#include "core/error.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::config
{

/// In characters. Shorter keys could be recovered from their published digests by brute force.
inline constexpr std::size_t min_key_length = 16;
inline constexpr std::size_t max_key_length = 256; ///< Characters.

struct account_options
{
    std::string name;
    std::vector<std::string> keys; ///< Plain text; two while a key is rotated.
    double rate = 0.0;             ///< Requests/s over all VMs.
    double burst = 0.0;            ///< Requests.
};

/// A deployment as operators describe it, with the structs of config/model.hpp. Durations must be
/// whole milliseconds.
struct deployment
{
    std::uint64_t version = 1;
    std::vector<region> regions;
    std::vector<data_centre> data_centres;
    std::vector<account_options> accounts;
    std::vector<service> services;
    std::vector<route> routes;
};

/// A group of servers on consecutive ports of one IP address, assigned to the data centres round
/// robin.
struct server_group_options
{
    std::string name; ///< The servers are named NAME-1, NAME-2 and so on.
    std::size_t count = 1;
    std::vector<std::string> data_centres;
    std::string ip = "127.0.0.1";
    std::uint16_t first_port = 9000;
};

/// Returns the servers of a group. Preconditions: `data_centres` is not empty, and the last port is
/// at most 65535. Thread safe.
std::vector<backend_server> make_servers(const server_group_options& options);

/// Returns the configuration of a deployment after checking it. Error: document_error, whose path
/// refers to the printed configuration. Thread safe.
core::result<configuration> build(const deployment& options);

/// Prints the configuration of the deployment to standard output, or the error to standard error.
/// Returns the exit code for main: 0, or 2 for an invalid deployment. Not thread safe.
int print_deployment(const deployment& options);

} // namespace zinniaferry::config
