/// The decisions of one daemon: connects membership, configuration, leases, limits, claims and
/// routing, and turns events into actions. It has no sockets and no clock; the daemon and the
/// history check drive the same code.
///
/// One thread at a time for all functions. Time must not run backwards between calls.
#pragma once

#include "core/random.hpp"
#include "fleet/claims.hpp"
#include "fleet/config_spread.hpp"
#include "fleet/keys.hpp"
#include "fleet/majority_lease.hpp"
#include "fleet/membership.hpp"
#include "limits/account_limiter.hpp"
#include "node/actions.hpp"
#include "request/outcome.hpp"
#include "routing/admission_queue.hpp"
#include "routing/cold_permits.hpp"
#include "routing/probe_budget.hpp"
#include "routing/selection.hpp"

#include <boost/json.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::node
{

/// How often the driver calls tick.
inline constexpr core::duration tick_interval = std::chrono::milliseconds(10);

struct decider_options
{
    core::process_id self;
    std::string data_centre;
    std::string region;
    limits::strategy limits_way = limits::seats_pool_and_loans;
    /// Attempts at connecting for one request, after which no server counts as reachable.
    std::uint32_t max_connect_attempts = 3;
    /// Requests in progress at once; more are refused as overloaded.
    std::size_t max_requests = 20'000;
    std::uint64_t random_seed = 1;
};

/// A VM of the published list.
struct listed_vm
{
    std::string name;
    std::string data_centre;
    std::string peer_address;
    std::string admin_address;
    bool leaving = false;
};

/// One request from its arrival to its end.
struct request_record
{
    request::request_life life;
    std::string account;               ///< Empty on an open route without a key.
    std::string presented_key;         ///< Checked again before the first byte leaves.
    std::uint64_t checked_version = 0; ///< In force when the key was checked last.
    routing::service_index service = routing::no_service;
    config::request_class priority = config::request_class::lookup;
    bool idempotent = false;
    std::string idempotency_key;
    core::unix_time first_sent{};
    core::time_point arrived;
    core::time_point sent;
    core::time_point queued_deadline;
    std::vector<routing::server_index> tried;    ///< Servers that failed this request.
    std::optional<routing::server_index> server; ///< At present.
    std::optional<std::uint64_t> permit;
    std::uint64_t claim = 0;
    std::uint32_t connect_failures = 0;
    std::optional<request_error> refused_before_sending; ///< By the last check of the key.
};

struct account_counters
{
    std::uint64_t requests = 0;
    std::uint64_t admitted = 0;
    std::uint64_t over_limit = 0; ///< Refused because of the account's limit.
    std::uint64_t other = 0;      ///< Refused or failed for another reason.
};

struct decider_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t retries = 0;
    std::array<std::uint64_t, 17> refused{}; ///< By request_error.
    std::uint64_t unknown_outcomes = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t pauses = 0; ///< Ticks that came more than pause_limit late.
};

struct decider
{
    decider_options options;
    core::random_generator random;
    core::time_point last_tick;
    core::time_point next_server_tick;

    fleet::membership membership;
    fleet::config_spread spread;
    fleet::majority_lease lease;
    fleet::claims claims;
    limits::account_limiter limiter;
    routing::server_table servers;
    routing::data_centre_weights weights;
    routing::cold_permits permits;
    routing::probe_budget probes;
    request::retry_budget retries;

    std::shared_ptr<const config::configuration> configuration; ///< Null before the first.
    std::uint64_t applied_version = 0;
    fleet::key_index keys;
    std::vector<routing::admission_queue> queues; ///< By service_index.
    std::vector<listed_vm> vm_list;

    std::unordered_map<request_id, request_record> requests;
    std::unordered_map<std::uint64_t, request_id> request_of_claim;
    std::unordered_map<std::string, account_counters> accounts;
    decider_counters counters;
    bool leaving = false;
};

/// Builds the decider of a process that has just started. `wall` is the wall clock at `now`.
std::unique_ptr<decider> make_decider(decider_options options, core::time_point now,
                                      core::unix_time wall);

const core::process_id& self(const decider& state);

/// Requests. Each started request ends with exactly one refusal or relay_answer.
action_list start_request(decider& state, request_id id, const request_description& request,
                          core::time_point now);
/// Counts a request that was refused before it could be started, because it was malformed, too
/// large or did not arrive whole in time.
void count_malformed(decider& state, request_error error);

/// Asks, directly before the first byte of an attempt is written, whether it still may be. After
/// true the bytes count as having left; after false the driver reports attempt_end::not_sent.
bool bytes_leaving(decider& state, request_id id, core::time_point now);
action_list attempt_ended(decider& state, request_id id, const attempt_result& result,
                          core::time_point now);

/// The caller's connection has ended. An attempt in progress is also reported by attempt_ended.
action_list caller_gone(decider& state, request_id id, core::time_point now);

/// Result of a probe that send_probe asked for; `load_report` is empty when it failed.
action_list probe_ended(decider& state, std::string_view server, std::string_view load_report,
                        core::duration took, core::time_point now);

/// Upstream connections, which are evidence that a server lives.
void connection_opened(decider& state, std::string_view server);
void connection_closed(decider& state, std::string_view server);

/// Peers.
action_list handle_message(decider& state, const fleet::message& message, core::time_point now);

/// The platform. `next_service_call` says whether a call is due; its end is reported by one of
/// the three functions that follow.
std::optional<fleet::service_call> next_service_call(decider& state, core::time_point now);
action_list service_replied(decider& state, std::string_view document, core::time_point now);
action_list service_unchanged(decider& state, core::time_point now);
action_list service_failed(decider& state, core::time_point now);
void set_vm_list(decider& state, std::vector<listed_vm> list, core::time_point now);

/// Time. To be called every tick_interval; a late call is noticed as a pause.
action_list tick(decider& state, core::unix_time wall, core::time_point now);

/// Planned stop: `announce_stop` tells peers that this process leaves; `hand_over` returns what
/// was borrowed and begins to give up the leases, to be called when no request is in progress;
/// `hand_over_done` says when the process may exit.
action_list announce_stop(decider& state, core::time_point now);
action_list hand_over(decider& state, core::time_point now);
bool hand_over_done(const decider& state, core::time_point now);

/// Whether a configuration is in force and the boot rule is met.
bool is_ready(const decider& state, core::time_point now);
std::uint64_t config_version(const decider& state);

/// Returns the account that the key belongs to, empty when it is not valid.
std::string account_of_key(const decider& state, std::string_view presented_key);

/// Views for operators and the state dump.
boost::json::array account_view(const decider& state, core::time_point now);
boost::json::array server_view(const decider& state, core::time_point now);
boost::json::object fleet_view(const decider& state, core::time_point now);
boost::json::object configuration_view(const decider& state, core::time_point now);
boost::json::object dump(const decider& state, core::time_point now);

} // namespace zinniaferry::node
