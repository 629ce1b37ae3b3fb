/// A backend server in virtual time: slots, a bounded queue, cold start, and the faults that
/// servers show. It records what it runs through `on_execute`.
#pragma once

#include "core/random.hpp"
#include "history/event_queue.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace zinniaferry::history
{

/// One attempt of a process to have a request run at a server.
struct attempt
{
    std::uint64_t call = 0; ///< Number of the request over the whole run.
    std::size_t slot = 0;
    std::uint64_t incarnation = 0;
    std::string server;
    std::string account;
    core::time_point deadline{};        ///< At the process.
    core::time_point server_deadline{}; ///< The time left when it was sent, counted from arrival.
    std::uint64_t server_run = 0;       ///< Of the server when the connection was opened.
    bool fresh_connection = false;
    bool needs_allowance = false; ///< Sent with evidence that the server is cold, or without any.
    bool left = false;            ///< Bytes have left the process.
    bool open = true;             ///< Not yet ended at the process.
    bool cancelled = false;       ///< The connection was closed before the answer.
};

using attempt_pointer = std::shared_ptr<attempt>;

struct server_answer
{
    unsigned status = 200;
    bool did_not_run = false;
    std::string load_report;
};

struct backend
{
    std::string name;
    std::string data_centre;
    std::uint32_t slots = 1;
    std::uint32_t allowance = 1;

    bool up = true;
    bool cold = false;
    bool draining = false;
    bool failing = false; ///< Answers at once with status 500.
    bool lying = false;   ///< States that it serves and is idle.
    double slowness = 1.0;
    core::duration answer_delay{}; ///< Of an answer that is already complete.
    std::uint64_t run = 1;         ///< Counts restarts.
    std::uint32_t served_cold = 0; ///< Requests finished since it turned cold.

    std::deque<attempt_pointer> waiting;
    std::deque<attempt_pointer> running;
    core::duration probe_time{}; ///< Spent on probes since it was first listed.
    core::time_point listed_at{};
};

/// What a backend needs from the simulation.
struct backend_context
{
    event_queue& queue;
    core::random_generator& random;
    std::function<void(const attempt&)> on_execute;
    std::function<void(const attempt_pointer&, server_answer)> answer;
};

/// Takes a request whose first byte arrived. Not thread safe, as all functions below.
void arrive(backend& server, const backend_context& context, const attempt_pointer& request);

/// Returns the value of the load header at present. Thread safe on a constant server.
std::string load_report(const backend& server);

/// Turns the server cold without notice.
void turn_cold(backend& server);

/// Ends the run of the server: everything there is lost. Returns what was there.
std::vector<attempt_pointer> go_down(backend& server);

/// Returns how many requests at the server needed the cold allowance.
std::uint32_t count_needing_allowance(const backend& server);

} // namespace zinniaferry::history
