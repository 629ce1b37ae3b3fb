/// One run of the history check: a deployment, its traffic and its faults in virtual time, and
/// what came out.
#pragma once

#include "core/error.hpp"
#include "history/faults.hpp"
#include "history/observer.hpp"

#include <boost/json/object.hpp>

namespace zinniaferry::history
{

struct run_options
{
    std::uint64_t seed = 1;
    std::string deployment = "kandy"; ///< Or "tanrend".
    std::size_t vms = 0;              ///< 0: 16 to 19 by the seed.
    limits::strategy way = limits::seats_pool_and_loans;
    injection inject = injection::none;
    double part_of_rate = 0.6;
    core::duration tick = node::tick_interval;        ///< Of the processes.
    core::duration length = std::chrono::seconds(75); ///< Until the callers stop.
    /// Time without faults at the beginning: leases and permits need 15 s after a cold start of
    /// the whole fleet, and voters one idempotency window.
    core::duration quiet_start = std::chrono::seconds(22);
    core::duration quiet_end = std::chrono::seconds(15);
};

struct run_report
{
    run_options options;
    std::vector<fault> faults;
    std::array<guarantee, guarantee_count> guarantees;
    std::map<std::string, account_bucket> accounts;
    std::map<std::string, double> counters;
    std::vector<std::string> trace; ///< Violations in order.
    std::uint64_t digest = 0;
};

/// Returns the first configuration of a deployment, with limits that a run can reach, or nothing
/// for another name. Its keys are returned by account. Thread safe.
struct deployment_start
{
    config::configuration configuration;
    std::map<std::string, std::string> keys;
};
std::optional<deployment_start> find_deployment(std::string_view name);

/// Returns the number of VMs that run, by the options. Thread safe.
std::size_t vm_count(const run_options& options);

/// Returns the random faults of a seed. Precondition: the deployment exists. Thread safe.
std::vector<fault> make_faults(const run_options& options);

/// Carries out a run. Precondition: the deployment exists and the faults' arguments were checked.
/// Thread safe: nothing is shared between runs.
run_report run_history(const run_options& options, const std::vector<fault>& faults);

/// Returns the number of violations. Thread safe.
std::uint64_t violation_count(const run_report& report);

/// Returns the shortest list of faults found that still violates the guarantee which `report`
/// violates first, by leaving out faults one after another. Thread safe.
std::vector<fault> shorten(const run_report& report);

} // namespace zinniaferry::history
