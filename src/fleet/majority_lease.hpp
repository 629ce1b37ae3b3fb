/// Majority leases: at most one holder per group at any time, whatever the lists of VMs say.
///
/// A voter acknowledges a holder for `longest_lease_term`, because the request does not say which
/// term its sender counts; a configured shorter term only makes holders stop and renew earlier.
#pragma once

#include "config/model.hpp"
#include "core/random.hpp"
#include "fleet/messages.hpp"

#include <boost/json/object.hpp>

#include <optional>
#include <vector>

namespace zinniaferry::fleet
{

/// Time for which a voter acknowledges, and the quarantine after a start.
inline constexpr core::duration longest_lease_term = std::chrono::seconds(10);

struct majority_lease_options
{
    double clock_margin = 0.02; ///< Part of the term given up for clocks of different rate.
    core::duration ask_interval = std::chrono::milliseconds(500); ///< Between rounds of a group.
    /// Wait per rank below the first when a holder is lost. Longer than the interval between
    /// rounds, so that the first in rank gets the votes that a split left to expire.
    core::duration rank_delay = std::chrono::milliseconds(1500);
    /// The same after a lease was given up: all voters are free at once and no votes are split.
    core::duration handover_delay = std::chrono::milliseconds(100);
};

/// What this process as a voter acknowledges for a group.
struct lease_acknowledgement
{
    core::process_id holder;
    core::time_point until{};
};

/// What this process as a candidate knows of a group.
struct lease_candidacy
{
    std::uint64_t round = 0;
    core::time_point asked{};
    std::vector<core::process_id> granted; ///< Voters that acknowledged this round.
    core::time_point held_until{};         ///< The epoch when not held.
    core::time_point vacant_since{};       ///< When no holder was known any more.
    bool handed_over = false;              ///< The last holder gave the lease up.
    core::duration delay{};                ///< Random part of the wait of lower ranks.
    core::time_point rival_until{};        ///< Another process asked during the own quarantine.
    core::time_point yield_until{};        ///< Not asking before, in favour of another candidate.
    unsigned failed_rounds = 0;            ///< In a row.
    bool released = false;                 ///< Given up for good.
    core::process_id last_known;           ///< The holder as voters reported it.
    core::time_point last_known_at{};
};

struct majority_lease
{
    core::process_id self;
    majority_lease_options options;
    core::time_point started{};
    std::uint32_t max_vms = 0; ///< 0 until a configuration is in force.
    std::uint32_t pool_groups = 0;
    core::duration term{};                           ///< That this process counts as a candidate.
    std::vector<lease_acknowledgement> acknowledged; ///< Per group.
    std::vector<lease_candidacy> candidacies;        ///< Per group.
};

/// Returns a module that holds nothing. `now` is the start of the process; for one
/// `longest_lease_term` from then it acknowledges nobody. Thread safe.
majority_lease make_majority_lease(core::process_id self, majority_lease_options options,
                                   core::time_point now);

/// Takes `max_vms`, `pool_groups` and `lease_term`. Not thread safe for a shared state, like all
/// functions below that change it.
void apply_configuration(majority_lease& state, const config::configuration& config,
                         core::time_point now);

/// Takes lease_request, lease_reply and lease_release; other messages are ignored.
std::vector<outgoing> handle(majority_lease& state, const core::process_id& from,
                             const message_body& body, core::time_point now);

/// Asks for vacant groups and renews held ones. `alive` are the VM names of the peers that are
/// alive, without this one.
std::vector<outgoing> tick(majority_lease& state, const std::vector<std::string>& alive,
                           core::time_point now, core::random_generator& random);

/// Returns until when this process holds the group; nothing when it does not hold it at `now`.
/// To be called at each use, so that a process that wakes late spends nothing. Thread safe.
std::optional<core::time_point> held_until(const majority_lease& state, std::uint32_t group,
                                           core::time_point now);

/// Returns the holder as far as known, this process included; the vm is empty when unknown.
/// Only a hint. Thread safe.
core::process_id known_holder(const majority_lease& state, std::uint32_t group,
                              core::time_point now);

/// Gives a group up for good: this process never asks for it again, because a release that comes
/// late must not cancel a newer acknowledgement. Precondition: nothing granted under the lease is
/// still in use, see `limits::pool_busy_until`.
std::vector<outgoing> release(majority_lease& state, std::uint32_t group,
                              const std::vector<std::string>& alive, core::time_point now);

/// Gives all groups up for good, held or not. Same precondition as `release`.
std::vector<outgoing> release_all(majority_lease& state, const std::vector<std::string>& alive,
                                  core::time_point now);

/// Returns the state for the state dump. Thread safe.
boost::json::object dump(const majority_lease& state, core::time_point now);

} // namespace zinniaferry::fleet
