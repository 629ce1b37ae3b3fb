/// The load tool's run: follows the schedules of all accounts and records each request.
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

struct run_options
{
    std::string id_prefix;       ///< First part of every request id; must differ between runs.
    seconds duration{10.0}; ///< New requests are sent for this long.
    arrival_spacing spacing = arrival_spacing::poisson;
    std::uint64_t seed = 1;
    bool pin_accounts = false;            ///< Each account keeps to one target; otherwise in turn.
    double repeat_ratio = 0.0;  ///< Share of requests with an idempotency key that are repeated.
    std::size_t max_in_flight = 4000; ///< Requests open at once.
    bool show_progress = false;  ///< A line each second on standard error.
};

struct run_state
{
    run_options options;
    traffic_mix mix;
    std::shared_ptr<connection_pool> pool;
    std::size_t target_count = 0;
    std::ofstream record_file; ///< Not open when nothing is recorded.
    core::random_generator random;
    load::run_report report;
    std::chrono::steady_clock::time_point start_time;
    std::uint64_t next_id = 0;
    std::size_t next_target = 0;
    std::size_t in_flight = 0;
    std::size_t active_tasks = 0; ///< Schedules and requests that have not ended.
    bool stop_requested = false;
};

/// Starts the run on the context. Precondition: `state` outlives the context's handlers; the
/// context runs on one thread.
void start_run(run_state& state, boost::asio::io_context& context);

/// Runs the context until every request of the run has ended.
void run_to_completion(run_state& state, boost::asio::io_context& context);

} // namespace zinniaferry::load
