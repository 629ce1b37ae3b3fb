/// The backend servers that one daemon knows: their life cycle, and its own observations of each.
#pragma once

#include "chart/chart.hpp"
#include "core/time.hpp"
#include "routing/load_reading.hpp"

#include <boost/json.hpp>

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

/// States of `charts/backend.json`.
enum class backend_state
{
    serving,
    cold,
    suspect,
    draining,
    gone
};

/// What the platform lists of a backend server.
struct listed_backend
{
    std::string id;
    std::string service;
    std::string address; ///< IP number and port; used again by others after the server's end.
    std::string data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    core::duration warmup_left{}; ///< Zero for a warm server.
    std::uint64_t incarnation = 0;   ///< Differs between two starts under one id.

    bool operator==(const listed_backend&) const = default;
};

struct backend
{
    listed_backend listed;
    backend_state state = backend_state::gone;
    core::time_point cold_until;
    core::time_point next_probe_at; ///< No probe before.
    std::uint32_t times_marked_suspect = 0;   ///< In a row; each doubles the time until the next probe.
    /// Since when a question for its load is open; a server that is full answers late.
    std::optional<core::time_point> load_probe_pending_since;
    core::time_point skip_until; ///< It broke a question off, as full servers do.
    std::uint32_t unanswered_load_probes = 0;  ///< Questions without an answer in a row.
    std::uint32_t in_flight = 0; ///< Requests of this daemon.
    std::optional<load_reading> reading;
    double error_rate = 0.0; ///< Moving average over this daemon's own requests.
    core::time_point error_rate_updated_at;
    double slowness = 1.0; ///< Moving average of latency against the service's.
    core::time_point slowness_updated_at;
    double cold_tokens = 0.0;
    core::time_point cold_tokens_updated_at;
};

using backend_pointer = std::shared_ptr<backend>;

struct service_state
{
    core::duration latency{}; ///< Moving average; zero before the first answer.
    double warmup_rate = 1.0; ///< Requests/s that a cold server tolerates.
    core::duration warmup{};
};

/// Usual latency of one route's requests: half of them are answered sooner.
struct route_latency
{
    core::duration median{}; ///< Zero before the first answer.
};

/// Takes an answer into account. Not thread safe.
void record_latency(route_latency& route, core::duration latency);

struct backend_set_options
{
    std::string own_name;        ///< This daemon's name among the members.
    std::string data_centre; ///< Servers of it are preferred while they are no worse.
    /// Requests above `warmup_rate` that one cold server bears in any second.
    double cold_slack = 5.0;
    double cold_overage = 1.5; ///< Factor on `warmup_rate` that is still borne.
};

struct backend_set
{
    backend_set_options options;
    std::unordered_map<std::string, backend_pointer> by_id;
    std::unordered_map<std::string, std::vector<backend_pointer>> by_service;
    std::unordered_map<std::string, service_state> service_states;
    std::unordered_set<std::string> data_centres_out_of_service;
    std::vector<std::string> members; ///< Of the fleet; they share what a cold server bears.
    bool are_members_known = true;    ///< Until then this daemon sends nothing to cold servers.
};

enum class failure_kind
{
    unreachable, ///< No connection, or no answer to a probe.
    broken,      ///< The connection ended, or the answer was cut or malformed.
    error,       ///< An answer that states an error of the server.
    timeout,
    wrong_server ///< Another server answers at the address.
};

/// All functions: one thread at a time, except for to_string, which is thread safe.

const char* to_string(backend_state value);
const char* to_string(failure_kind value);

/// Takes over a listing. A new lifetime starts without observations.
void apply_listing(backend_set& set, const listed_backend& listed, core::time_point now);

/// Forgets the server; requests in progress keep their pointer.
void remove_listing(backend_set& set, const std::string& id);

/// Sets the data centres that get nothing. Servers of one that returns count as cold.
void set_data_centres_out_of_service(backend_set& set, std::unordered_set<std::string> out,
                          core::time_point now);

/// Returns whether the data centre of the server is taken out.
bool is_out_of_service(const backend_set& set, const backend& server);

/// Returns the average of the server's errors, which fades with time.
double error_rate(const backend& server, core::time_point now);

/// Returns how much longer than usual the server's answers take; fades to 1 with time.
double slowness(const backend& server, core::time_point now);

/// Ends a cold start whose time is over.
void end_warmup_if_due(backend& server, core::time_point now);

/// Returns suspect servers that are due for a probe and moves their next probe on.
std::vector<backend_pointer> take_due_probes(backend_set& set, core::time_point now);

/// A question for the load begins; it ends by on_reading, on_silence or on_failed.
void on_load_probe_sent(backend& server, core::time_point now);
/// The question was broken off or not answered, although the server accepts connections.
void on_load_probe_unanswered(backend& server, core::time_point now);

void on_sent(backend& server);
void on_load_reading(backend& server, const load_reading& reading, core::duration warmup_left);
/// `usual` is the latency that the request's route has usually; zero when it is not known.
void on_response(backend_set& set, backend& server, core::duration latency, core::duration usual_latency,
                 core::time_point now);
void on_failed(backend& server, failure_kind kind, core::time_point now);
/// The request left the server for a reason that says nothing about it.
void on_released(backend& server);
/// A probe of a suspect server was answered well.
void on_trial_passed(backend& server);

boost::json::array dump(const backend_set& set, core::time_point now);

} // namespace zinniaferry::routing
