/// The backend servers known to this daemon: their life cycle and the daemon's own observations of
/// each, such as errors, latency and reported load.
#pragma once

#include "chart/chart.hpp"
#include "core/time.hpp"
#include "routing/load_reading.hpp"
#include "routing/server_notices.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace zinniaferry::routing
{

/// States of the chart `charts/backend.json`.
enum class backend_state
{
    serving,
    cold, ///< Warming up: gets requests only at a limited rate.
    /// Failed: probed until it passes. Gets requests only when no other server of its service can
    /// take them, or when most of them are suspect.
    suspect,
    draining, ///< Listed as about to leave; gets no new requests.
    gone      ///< Not listed, or replaced by a later listing of its id.
};

/// A backend server as the platform or the configuration lists it.
struct listed_backend
{
    std::string id;
    std::string service;
    std::string address; ///< IP address and port; another server may reuse it after this one ends.
    std::string data_centre;
    std::uint32_t slots = 1;       ///< Requests that the server runs at once.
    bool draining = false;         ///< About to leave; gets no new requests.
    core::duration warmup_left{};  ///< Remaining warm-up time; zero for a warm server.
    std::uint64_t incarnation = 0; ///< Differs between two starts of a server under one id.

    bool operator==(const listed_backend&) const = default;
};

/// A backend server and this daemon's observations of it.
struct backend
{
    listed_backend listed;
    backend_state state = backend_state::gone;
    core::time_point cold_until;    ///< End of the warm-up while the state is cold.
    core::time_point next_probe_at; ///< Earliest next trial probe while the state is suspect.
    /// Since the last successful response; each doubles the delay of the first trial probe.
    std::uint32_t times_marked_suspect = 0;
    /// When the oldest open load probe was sent; a full server answers probes late.
    std::optional<core::time_point> load_probe_pending_since;
    /// Gets no requests before: it closed the connection of a load probe without a response, as
    /// full servers do, or left the probe unanswered.
    core::time_point skip_until;
    std::uint32_t unanswered_load_probes = 0; ///< In a row.
    std::uint32_t in_flight = 0;              ///< Requests that this daemon has open at the server.
    core::time_point connected_until; ///< Until then an idle connection to the server is kept.
    bool in_subset = true; ///< This daemon sends to it before servers outside its subset.
    std::optional<load_reading> reading; ///< Latest reported load.
    /// Moving average of failures of this daemon's own requests, in [0, 1], at the last update.
    double error_rate = 0.0;
    core::time_point error_rate_updated_at;
    /// Moving average of latency divided by the usual latency of the route, at the last update.
    double slowness = 1.0;
    core::time_point slowness_updated_at;
    double cold_tokens = 0.0; ///< Requests that may be sent to the server while it is cold.
    core::time_point cold_tokens_updated_at;
};

using backend_pointer = std::shared_ptr<backend>;

/// Measured latency of a service, and the warm-up of its servers from the configuration.
struct service_state
{
    core::duration latency{}; ///< Moving average; zero before the first response.
    double warmup_rate = 1.0; ///< Requests/s that a cold server tolerates from all daemons.
    core::duration warmup{};  ///< How long a server is cold after its start.
    load_average load;        ///< Of the servers that this daemon has probed.
};

/// Usual latency of a route's requests.
struct route_latency
{
    core::duration median{}; ///< Estimate; zero before the first response.
};

/// Updates the median with the latency of one response. Not thread safe.
void record_latency(route_latency& route, core::duration latency);

/// How this daemon sends to backend servers.
struct backend_set_options
{
    std::string own_name;    ///< This daemon's name in `backend_set::members`.
    std::string data_centre; ///< This daemon's own; its servers are preferred at similar cost.
    /// Requests in any second that a cold server tolerates above `cold_overage * warmup_rate`.
    double cold_slack = 5.0;
    double cold_overage = 1.5; ///< Factor on `warmup_rate` that a server tolerates.
};

/// Why a selection leaves a listed server out; the names are those in metrics.
enum class pass_over_reason
{
    draining,       ///< Listed as about to leave.
    out_of_service, ///< Its data centre is out of service.
    leaving,        ///< It has said that it leaves.
    retry_later,    ///< It has said that it wants nothing for a time.
    unresponsive,   ///< A load probe is late or was not answered.
    suspect,        ///< It failed, and others of its service have not.
    cold,           ///< It is warming up and may get nothing now, or others are warm.
    no_capacity     ///< It responded, but has no capacity for the request.
};
inline constexpr std::size_t pass_over_reason_count =
    static_cast<std::size_t>(pass_over_reason::no_capacity) + 1;

/// All backend servers known to this daemon.
struct backend_set
{
    backend_set_options options;
    std::unordered_map<std::string, backend_pointer> by_id;
    std::unordered_map<std::string, std::vector<backend_pointer>> by_service;
    std::unordered_map<std::string, service_state> service_states; ///< By service name.
    std::unordered_set<std::string> data_centres_out_of_service; ///< Their servers get no requests.
    /// Names of the fleet's daemons; they share the rate that a cold server tolerates.
    std::vector<std::string> members;
    bool are_members_known = true; ///< While false, nothing is sent to cold servers.
    server_notices notices;        ///< What servers said of themselves; listed or not.
    /// Servers left out in selections, by pass_over_reason.
    std::array<std::uint64_t, pass_over_reason_count> passed_over{};
    std::uint64_t candidates_outside_subset = 0; ///< Returned by selections.
};

/// Why a request or probe failed; the names are those in the log.
enum class failure_kind
{
    unreachable, ///< Connection failed, or load probes stayed unanswered.
    broken,      ///< Connection closed early, or response truncated or malformed.
    error,       ///< The response reports a server error.
    timeout,     ///< No response before the deadline of the request.
    wrong_server ///< Another server answered at the address.
};

/// Not thread safe: calls on one backend_set must not run concurrently. to_string is thread safe.

const char* to_string(backend_state value);
const char* to_string(failure_kind value);
const char* to_string(pass_over_reason value);

/// Adds a listed server or updates it. A listing with another incarnation, address or service
/// replaces the server and discards its observations.
void apply_listing(backend_set& set, const listed_backend& listed, core::time_point now);

/// Removes the server; requests in progress keep their pointer, with the state gone.
void remove_listing(backend_set& set, const std::string& id);

/// Sets the data centres that get no requests. Servers of one that returns to service become cold
/// for the warm-up time of their service.
void set_data_centres_out_of_service(backend_set& set, std::unordered_set<std::string> data_centres,
                                     core::time_point now);

/// Returns whether the data centre of the server is out of service.
bool is_out_of_service(const backend_set& set, const backend& server);

/// Returns the server's average error rate, which decays to 0 with time.
double error_rate(const backend& server, core::time_point now);

/// Returns the ratio of the server's latency to the usual one, which decays to 1 with time.
double slowness(const backend& server, core::time_point now);

/// Moves a cold server to serving once its warm-up time has passed.
void end_warmup_if_due(backend& server, core::time_point now);

/// Returns whether the server has said that it leaves, or that it wants nothing for a time. Such a
/// server must get nothing, probes included.
bool is_withheld(const backend_set& set, const backend& server, core::time_point now);

/// Returns the suspect servers whose trial probe is due, and schedules their next one. The probes
/// of withheld servers wait.
std::vector<backend_pointer> take_due_probes(backend_set& set, core::time_point now);

/// Records that a load probe is sent. It ends with on_load_reading, on_load_probe_unanswered,
/// on_load_probe_abandoned or on_failed.
void on_load_probe_sent(backend& server, core::time_point now);
/// Records that the server closed the connection of a load probe without a response, or did not
/// answer the probe, although it accepts connections. The server is skipped until `skip_until`;
/// several such probes in a row make it suspect.
void on_load_probe_unanswered(backend& server, core::time_point now);

/// Records that a load probe is not sent after all, which says nothing about the server.
void on_load_probe_abandoned(backend& server);

/// Records that a request is sent to the server.
void on_sent(backend& server);
/// Records a load that the server reported. A `warmup_left` above zero makes a serving or
/// suspect server cold.
void on_load_reading(backend& server, const load_reading& reading, core::duration warmup_left);
/// Records a successful response. `usual_latency` is the median of the request's route; zero when
/// it is not known.
void on_response(backend_set& set, backend& server, core::duration latency,
                 core::duration usual_latency, core::time_point now);
/// Records a failed request, which on_sent has counted. The server becomes suspect when it was
/// unreachable or the wrong one, or when its error rate is high.
void on_failed(backend& server, failure_kind kind, core::time_point now);
/// Records the end of a request that says nothing about the server, such as one that it refused
/// or one that was abandoned.
void on_released(backend& server);
/// Records that a suspect server passed its trial probe.
void on_trial_passed(backend& server);

/// Returns the servers and their observations for the state dump of operators.
boost::json::array dump(const backend_set& set, core::time_point now);

} // namespace zinniaferry::routing
