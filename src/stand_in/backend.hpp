/// Stand-in for the backend servers of one service: slots, a bounded queue, cold start, drain,
/// shedding, deadlines, cancellation and a load report that may lag or mislead.
#pragma once

#include "core/random.hpp"
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

struct backend_options
{
    std::string service = "service";
    unsigned count = 1;
    unsigned slots = 2;
    unsigned queue_capacity = 8;
    milliseconds service_time{5.0};  ///< Mean.
    bool fixed_service_time = false; ///< Otherwise exponential.
    milliseconds cold_time{0.0};     ///< After the start, a restart or the command `cold`.
    unsigned cold_allowance = 1;     ///< Concurrent requests that a cold server bears.
    double cold_factor = 4.0;        ///< Service times are longer by this factor when cold.
    milliseconds report_lag{0.0};    ///< Age of the load in the report.
    double report_bias = 1.0;        ///< The reported load is multiplied by this.
    milliseconds late_by{200.0};     ///< How long after the deadline a late server answers.
    std::size_t body_bytes = 256;    ///< Content of an answer.
    std::uint64_t seed = 1;
    net::http_profile profile; ///< Names of the headers.
};

enum class backend_mode
{
    normal,
    slow,
    fail_fast, ///< Answers 500 at once without running the request.
    draining,  ///< Sheds new requests.
    late       ///< Answers after the deadline.
};

struct backend_counters
{
    std::uint64_t executions = 0; ///< Started, also if cut or cancelled later.
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0; ///< The connection closed first.
    std::uint64_t cut = 0;       ///< The deadline passed while the request ran.
    std::uint64_t shed = 0;
    std::uint64_t failed_fast = 0;
    std::uint64_t while_draining = 0;
    std::uint64_t cold_overruns = 0; ///< Requests beyond the allowance of a cold server.
    std::uint64_t key_headers = 0;   ///< Requests that carried a caller's key; must stay 0.
    std::uint64_t probes = 0;
    std::uint64_t misdirected = 0; ///< Requests meant for another server.
};

struct load_sample
{
    backend_clock::time_point at;
    std::string header_value;
};

/// A request that waits for a slot.
struct slot_waiter
{
    boost::asio::steady_timer timer;
    bool granted = false;
};

struct backend_group;

/// One server. Not thread safe: use it on the thread of its execution context.
struct backend
{
    backend_group* group = nullptr;
    std::string name;
    backend_mode mode = backend_mode::normal;
    double slow_factor = 1.0;
    backend_clock::time_point cold_until;
    unsigned running = 0;
    std::deque<slot_waiter*> waiting;
    std::deque<load_sample> load_samples; ///< The front is what the report says.
    backend_counters counters;
    connection_set connections;
};

/// The servers of one service with their execution log.
struct backend_group
{
    backend_options options;
    core::random_generator random;
    std::ofstream execution_log; ///< Not open when there is no log.
    std::vector<std::unique_ptr<backend>> servers;
};

/// Returns a group of servers named SERVICE-1, SERVICE-2, ... Without a log file name nothing is
/// logged. Error: file_error.
core::result<std::unique_ptr<backend_group>> make_backend_group(const backend_options& options,
                                                                const std::string& log_file);

/// Returns the handler of one server. Precondition: `server` outlives it.
http_handler make_backend_handler(backend& server);

/// Returns the handler of the control listener. Precondition: `group` outlives it.
http_handler make_backend_control(backend_group& group);

/// Returns the value of the load header as the server reports it now.
std::string reported_load(backend& server);

} // namespace zinniaferry::stand_in
