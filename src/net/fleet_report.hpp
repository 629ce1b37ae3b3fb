/// Reports of the daemons of a fleet, which `zinniactl fleet` reads from their admin listeners.
#pragma once

#include "core/error.hpp"
#include "core/time.hpp"

#include <boost/json/array.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::net
{

/// The report of one daemon, a line of the table.
struct vm_report
{
    std::string address;                     ///< Of the admin listener.
    std::uint64_t configuration_version = 0; ///< Version in force.
    std::uint64_t vms_seen = 0;              ///< Members reported recently, the VM itself included.
    std::uint64_t requests = 0;              ///< Since the daemon's start.
    std::uint64_t refusals = 0;              ///< Since the daemon's start.
    std::string error;                       ///< Why the request failed; empty if it succeeded.
};

/// How to call admin listeners.
struct admin_options
{
    std::string credential;                           ///< Bearer credential.
    core::duration timeout = std::chrono::seconds(5); ///< For each request.
};

/// Parses a report from the body of a `/state` response. Error: document_error, whose file is the
/// address and path of the request. Thread safe.
core::result<vm_report> parse_vm_report(const std::string& address, std::string_view body);

/// Requests the report of one admin listener, and blocks until it responds or times out. A failure
/// is returned in vm_report::error, so that the table still shows the other VMs. Thread safe.
vm_report fetch_vm_report(const std::string& address, const admin_options& options);

/// Returns whether every VM answered and all have the same version in force. Thread safe.
bool have_same_version(const std::vector<vm_report>& reports);

/// Returns the table as text. Thread safe.
std::string to_table(const std::vector<vm_report>& reports);
/// Returns the table for `--json`. Thread safe.
boost::json::array to_json(const std::vector<vm_report>& reports);

} // namespace zinniaferry::net
