/// One run of the load generator: sends the scheduled requests of all accounts and records the
/// result of each.
#pragma once

#include "core/random.hpp"
#include "load/client.hpp"
#include "load/schedule.hpp"

#include <boost/asio/io_context.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace zinniaferry::load
{

/// Settings of one run.
struct run_options
{
    std::string id_prefix;  ///< Prefix of every request id; must differ between runs.
    seconds duration{10.0}; ///< New requests are sent for this long.
    arrival_spacing spacing = arrival_spacing::poisson;
    std::uint64_t seed = 1; ///< Seed of the schedules and of the choice of repeated requests.
    /// Sends all requests of an account to one target; otherwise each request goes to the next
    /// target, round robin.
    bool pin_accounts = false;
    /// Fraction, 0 to 1, of the requests with an idempotency key that are sent a second time with
    /// the same key, through the next target. Half of these repeats are sent at once, half only if
    /// the first request was not answered.
    double repeat_ratio = 0.0;
    /// Limit of requests in flight; further ones are recorded as `limited` and not sent.
    std::size_t max_in_flight = 4000;
    bool show_progress = false; ///< Print a progress line each second on standard error.
};

/// State of one run. Not thread safe: use it on the thread of its execution context.
struct run_state
{
    run_options options;
    traffic_mix mix;
    std::shared_ptr<connection_pool> pool;
    std::size_t target_count = 0;
    std::ofstream record_file;     ///< One JSON line per request; not open if none are recorded.
    core::random_generator random; ///< Draws which requests are repeated.
    load::run_report report;
    std::chrono::steady_clock::time_point start_time;
    std::uint64_t next_id = 0;    ///< Suffix of the next request id or idempotency key.
    std::size_t next_target = 0;  ///< Round-robin counter; taken modulo `target_count`.
    std::size_t in_flight = 0;    ///< Requests sent and not yet completed.
    std::size_t active_tasks = 0; ///< Coroutines of accounts and requests that have not ended.
    bool stop_requested = false;  ///< When set, no further scheduled request is sent.
};

/// Starts the run on the context. Precondition: `state` outlives the context's handlers; the
/// context runs on one thread.
void start_run(run_state& state, boost::asio::io_context& context);

/// Runs the context until every request of the run has ended, then closes idle connections.
void run_to_completion(run_state& state, boost::asio::io_context& context);

} // namespace zinniaferry::load
