/// Stand-in for the backend servers of one service. It simulates slots, a bounded queue, cold
/// starts, draining, load shedding, deadlines, cancellation, answers that say that the server
/// leaves or wants a pause, lifetimes, and a load report that may be late or biased.
#pragma once

#include "core/random.hpp"
#include "core/time.hpp"
#include "net/http_profile.hpp"
#include "stand_in/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace zinniaferry::stand_in
{

using backend_clock = std::chrono::steady_clock;
using milliseconds = std::chrono::duration<double, std::milli>;

/// Settings of a group of stand-in servers.
struct backend_options
{
    std::string service = "service"; ///< Name of the service and prefix of the server names.
    unsigned count = 1;              ///< Number of servers.
    unsigned slots = 2;              ///< Requests that a server executes at once.
    unsigned queue_capacity = 8;     ///< Requests that may wait for a slot at a server.
    milliseconds service_time{5.0};  ///< Mean time of an execution at normal speed.
    bool fixed_service_time = false; ///< If not set, service times are exponentially distributed.
    milliseconds cold_time{0.0};     ///< Cold period after a start, restart or command `cold`.
    unsigned cold_allowance = 1;     ///< Concurrent requests that a cold server may be sent.
    double cold_factor = 4.0;        ///< Factor on the service time of a cold server.
    milliseconds report_lag{0.0};    ///< Age of the reported load.
    double report_bias = 1.0;        ///< Factor on the reported load.
    milliseconds late_by{200.0};     ///< Time from the deadline to the response in the mode `late`.
    std::size_t body_bytes = 256;    ///< Size of the content in a response body.
    std::uint64_t seed = 1;          ///< Seed of the service times.
    net::http_profile profile;       ///< Names of the headers and format of the load report.
};

/// How a server treats requests; set by control commands.
enum class backend_mode
{
    normal,
    slow,      ///< Service times are multiplied by `slow_factor`, and `slow_by` is added.
    fail_fast, ///< Responds 500 at once without executing the request; health checks fail too.
    draining,  ///< Rejects new requests as not executed.
    pausing,   ///< Rejects new requests as not executed and states `retry_after`.
    late       ///< Executes past the deadline and responds after it.
};

/// Counts of one server since its start; a simulated restart keeps them.
struct backend_counters
{
    std::uint64_t executions = 0;     ///< Executions started, however they ended.
    std::uint64_t completed = 0;      ///< Executions that ran to their end.
    std::uint64_t cancelled = 0;      ///< Executions ended by a closed connection.
    std::uint64_t cut = 0;            ///< Executions ended by the deadline.
    std::uint64_t shed = 0;           ///< Rejected: queue full, or no slot before the deadline.
    std::uint64_t failed_fast = 0;    ///< Requests failed in the mode `fail_fast`.
    std::uint64_t while_draining = 0; ///< Requests rejected in the mode `draining`.
    std::uint64_t while_pausing = 0;  ///< Requests rejected in the mode `pausing`.
    std::uint64_t cold_overruns = 0;  ///< Requests admitted beyond a cold server's allowance.
    std::uint64_t key_headers = 0;    ///< Requests that carried an account key; must stay 0.
    std::uint64_t probes = 0;         ///< Health checks.
    std::uint64_t misdirected = 0;    ///< Requests addressed to another server.
};

/// The load of a server at one time, in the format of the load header.
struct load_sample
{
    backend_clock::time_point at;
    std::string header_value;
};

/// A request that waits for a slot.
struct slot_waiter
{
    boost::asio::steady_timer timer; ///< Expires at the deadline; cancelled when a slot is granted.
    bool granted = false;
};

struct backend_group;

/// One stand-in server. Not thread safe: use it on the thread of its execution context.
struct backend
{
    backend_group* group = nullptr;
    std::string name;
    backend_mode mode = backend_mode::normal;
    double slow_factor = 1.0;                ///< Factor on the service time in the mode `slow`.
    milliseconds slow_by{0.0};               ///< Added to the service time in the mode `slow`.
    core::duration retry_after{};            ///< `Retry-After` of rejections in the mode `pausing`.
    backend_clock::time_point pausing_until; ///< End of the mode `pausing`.
    bool leaving = false;                    ///< All answers of this lifetime say so.
    unsigned lifetime = 1;                   ///< Counts the starts, the first included.
    backend_clock::time_point cold_until;
    unsigned running = 0;                 ///< Slots in use.
    std::deque<slot_waiter*> waiting;     ///< Queued requests, oldest first.
    std::deque<load_sample> load_samples; ///< Oldest first; the front one is reported.
    backend_counters counters;
    connection_set connections; ///< Reset by the command `restart`.
};

/// The servers of one service with their logs.
struct backend_group
{
    backend_options options;
    core::random_generator random; ///< Draws the service times.
    std::ofstream execution_log;   ///< Not open if executions are not logged.
    std::ofstream exchange_log;    ///< Not open if received requests are not logged.
    std::vector<std::unique_ptr<backend>> servers;
};

/// Returns a group of servers named SERVICE-1, SERVICE-2, ... Executions are appended to
/// `execution_log_file`, received requests to `exchange_log_file`; an empty name logs nothing.
/// Error: file_error.
core::result<std::unique_ptr<backend_group>>
make_backend_group(const backend_options& options, const std::string& execution_log_file,
                   const std::string& exchange_log_file = "");

/// Returns the request handler of one server. Precondition: `server` outlives it.
http_handler make_backend_handler(backend& server);

/// Returns the handler of the group's control listener, which sets modes and reads counters.
/// Precondition: `group` outlives it.
http_handler make_backend_control(backend_group& group);

/// Returns the current value of the server's load header, with the configured lag and bias.
std::string reported_load(backend& server);

} // namespace zinniaferry::stand_in
