/// Budget of the time that probes may take at each server. It is never exceeded.
#pragma once

#include "config/model.hpp"
#include "core/time.hpp"

#include <boost/json.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace zinniaferry::routing
{

struct probe_budget_options
{
    double fraction = 0.01; ///< Of the server's slot time, over all processes of the fleet.
    core::duration probe_cost = std::chrono::milliseconds(6);     ///< Charged at least.
    core::duration probe_timeout = std::chrono::milliseconds(12); ///< Reserved; ends the probe.
};

struct server_probe_budget
{
    double share = 0.0;      ///< Seconds of probe time earned a second by this process.
    core::duration saved{};  ///< At most two reservations.
    core::duration earned{}; ///< Since the server was first configured.
    core::duration spent{};  ///< Settled and reserved probe time.
    core::time_point last;
    std::uint64_t probes = 0;
};

/// Probe time over all servers since the start.
struct probe_totals
{
    core::duration earned{};
    core::duration spent{};
    std::uint64_t probes = 0;
};

struct probe_budget
{
    probe_budget_options options;
    std::unordered_map<std::string, server_probe_budget> servers;
    probe_totals former; ///< Of servers that are no longer configured.
};

/// Builds a budget without servers. Thread safe.
probe_budget make_probe_budget(probe_budget_options options);

/// Takes the slots of each server and `max_vms`. New servers start with nothing saved, so that a
/// restarted process cannot exceed the budget. Not thread safe.
void apply_configuration(probe_budget& budget, const config::configuration& config,
                         core::time_point now);

/// Reserves probe_timeout for a probe of `server`; false when the budget does not allow it now.
/// The caller ends the probe after probe_timeout. Not thread safe.
bool try_start_probe(probe_budget& budget, std::string_view server, core::time_point now);

/// Charges what the probe took, at least probe_cost, and frees the rest of the reservation.
/// Not thread safe.
void on_probe_finished(probe_budget& budget, std::string_view server, core::duration took,
                       core::time_point now);

/// Returns the probe time over all servers. Thread safe on a constant budget.
probe_totals totals(const probe_budget& budget, core::time_point now);

/// Returns the budget for the state dump. Thread safe on a constant budget.
boost::json::object dump(const probe_budget& budget, core::time_point now);

} // namespace zinniaferry::routing
