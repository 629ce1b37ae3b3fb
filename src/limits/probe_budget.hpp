/// Probe budget: bounds the probes that all daemons together send to the backend servers. A daemon
/// has the share of the fleet's budget that it has of the fleet's selections. If the requests would
/// need more probes, it sends fewer for each of them.
#pragma once

#include "core/time.hpp"
#include "limits/token_bucket.hpp"

#include <cstddef>

namespace zinniaferry::limits
{

/// Budget of the whole fleet.
struct probe_budget_options
{
    double rate_per_server = 60.0; ///< Probes/s that a server gets on average.
};

/// Budget of one daemon.
struct probe_budget
{
    probe_budget_options options;
    double share = 1.0;      ///< Of the fleet's budget, in [0, 1].
    std::size_t servers = 0; ///< Backend servers known to this daemon.
    token_bucket probes;     ///< Those left; below 0 after probes beyond the budget.
};

/// How many probes one selection of a server may send.
struct probe_plan
{
    std::size_t per_round = 0; ///< Servers probed at once; 0 to select without a probe.
    std::size_t rounds = 0;    ///< A further round is only for a selection without a good server.
};

/// Not thread safe: calls on one probe_budget must not run concurrently.

/// Returns the share of a daemon that has `own_rate` of the fleet's `fleet_rate` selections/s.
/// While the latter is 0, all `members` have equal shares.
double probe_share(double own_rate, double fleet_rate, std::size_t members);

/// Returns the probes that a selection may send. With fewer probes left, fewer servers are probed
/// at once, then one at a time, then only one, then none.
probe_plan plan_probes(probe_budget& budget, core::time_point now);

/// Returns how many servers the first round of the plan probes. While few servers of a service are
/// busy, two are enough; a further round follows if neither is good.
std::size_t first_round_size(const probe_plan& plan, bool is_calm);

/// Returns whether a trial probe of a suspect server may be sent.
bool may_send_trial(probe_budget& budget, core::time_point now);

/// Records that a probe is sent. Probes beyond the budget are taken from the next ones, so that the
/// average holds.
void on_probe_sent(probe_budget& budget, core::time_point now);

} // namespace zinniaferry::limits
