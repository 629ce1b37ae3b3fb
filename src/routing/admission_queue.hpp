/// Bounded queue of one service with an adaptive limit on the requests in flight.
#pragma once

#include "config/model.hpp"
#include "core/time.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace zinniaferry::routing
{

struct queued_request
{
    std::uint64_t id = 0; ///< Chosen by the caller, unique in the queue.
    config::request_class priority = config::request_class::lookup;
    core::time_point deadline;
    core::time_point enqueued;  ///< Set by enqueue.
    std::uint64_t sequence = 0; ///< Set by enqueue.
};

struct admission_options
{
    std::size_t capacity = 256; ///< Requests that may wait.
    double initial_limit = 8.0; ///< Requests in flight from this process.
    double min_limit = 1.0;
    double max_limit = 1000.0;
    double tolerance = 2.0;  ///< Latency over the best recent latency that is overload.
    double order_room = 2.0; ///< Orders may exceed the limit by this.
    double decrease = 0.9;   ///< Factor on the limit at most once per latency.
    core::duration baseline_window = std::chrono::seconds(10); ///< Memory of the best latency.
};

struct admission_queue
{
    admission_options options;
    /// Waiting requests per class, by deadline and then by arrival.
    std::array<std::map<std::pair<core::time_point, std::uint64_t>, queued_request>, 3> waiting;
    std::uint64_t arrivals = 0;
    std::uint32_t in_flight = 0;
    double limit = 0.0;
    core::duration latency{};      ///< Average of recent answers.
    core::duration spread{};       ///< Average distance of an answer from that average.
    core::duration best_latency{}; ///< Lowest average of the present and the former window.
    core::duration window_best{};  ///< Lowest average in the present window.
    std::uint32_t settling = 0;    ///< Answers so far, until the average is settled.
    core::time_point window_start;
    core::time_point last_decrease;
    std::array<std::uint64_t, 3> shed{};    ///< Per class.
    std::array<std::uint64_t, 3> expired{}; ///< Per class.
};

/// Builds an empty queue. Thread safe.
admission_queue make_admission_queue(admission_options options);

/// Sets the lowest limit to this process's part of the service's slots. Call it with each
/// configuration. Not thread safe.
void set_fair_share(admission_queue& queue, std::uint32_t slots_of_service, std::uint32_t max_vms);

/// Adds a request. Returns the requests that leave as "not run" to make room: the least important
/// class first, in it the latest deadline; this may be the new one. Not thread safe.
std::vector<queued_request> enqueue(admission_queue& queue, queued_request request,
                                    core::time_point now);

/// Returns the next request to send when the limit allows one: orders before lookups before
/// browsing, in a class the earliest deadline. It counts as in flight until on_finished. Requests
/// that can no longer be answered in time are left for take_expired. Not thread safe.
std::optional<queued_request> dequeue(admission_queue& queue, core::time_point now);

/// Removes a request whose caller went away. Returns whether it was there. Not thread safe.
bool remove(admission_queue& queue, const queued_request& request);

/// Returns and removes the requests that cannot be answered by their deadline. They leave as
/// "not run". Not thread safe.
std::vector<queued_request> take_expired(admission_queue& queue, core::time_point now);

enum class finish
{
    answered,
    refused, ///< The server shed it; this lowers the limit.
    failed,  ///< Timeout or lost connection; this lowers the limit.
    ignored  ///< Cancelled, or never sent; says nothing.
};

/// Ends a request that dequeue returned. `latency` is the time since it was sent.
/// Not thread safe.
void on_finished(admission_queue& queue, finish how, core::duration latency, core::time_point now);

/// Returns the number of waiting requests. Thread safe on a constant queue.
std::size_t waiting_count(const admission_queue& queue);

/// Returns the queue for the state dump. Thread safe on a constant queue.
boost::json::object dump(const admission_queue& queue, core::time_point now);

} // namespace zinniaferry::routing
