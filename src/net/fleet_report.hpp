/// What the operator's command reads from the admin listeners of a fleet.
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

/// One line of the table.
struct vm_report
{
    std::string address;
    std::uint64_t configuration_version = 0;  ///< In force.
    std::uint64_t vms_seen = 0; ///< Alive peers and the VM itself.
    std::uint64_t requests = 0;
    std::uint64_t refusals = 0;
    std::string error; ///< Why there is no report; empty when there is one.
};

struct admin_options
{
    std::string credential;
    core::duration timeout = std::chrono::seconds(5); ///< For each request.
};

/// Reads a report from the body of `/state`. Error: document_error, whose file is the address
/// and the path of the request. Thread safe.
core::result<vm_report> parse_vm_report(const std::string& address, std::string_view body);

/// Asks one admin listener. A failure is told in `error` of the report, so that the table shows
/// the other VMs. Thread safe.
vm_report fetch_vm_report(const std::string& address, const admin_options& options);

/// Returns true when every VM answered and all have the same version in force. Thread safe.
bool have_same_version(const std::vector<vm_report>& reports);

/// Returns the table as text, or for `--json`. Thread safe.
std::string to_table(const std::vector<vm_report>& reports);
boost::json::array to_json(const std::vector<vm_report>& reports);

} // namespace zinniaferry::net
