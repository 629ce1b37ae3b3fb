/// Replays a burst above a service's capacity in virtual time, with the decisions of `admission`
/// and `routing`, and compares them with taking any place in a server's queue.
#include "admission/overload.hpp"
#include "admission/placement.hpp"
#include "admission/stated_deadlines.hpp"
#include "admission/waiting_queue.hpp"
#include "model/event_queue.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
constexpr core::duration objective = 300ms;
constexpr core::duration caller_deadline = 2500ms;
constexpr core::duration mean_work = 120ms;
constexpr core::duration poll_interval = 30ms;
constexpr std::size_t server_count = 10;
constexpr std::uint32_t slots = 2;
constexpr int caller_retries = 2;
/// Work takes longer by this factor while both slots of a server are taken.
constexpr double busy_factor = 1.7;

/// How the replayed daemons decide.
enum class variant
{
    in_time_first, ///< The decisions of `admission`.
    any_place      ///< After a tenth of the objective, any place in a queue; back after 100 ms.
};

struct replayed_server
{
    std::uint32_t running = 0;
    std::deque<std::function<void()>> waiting; ///< Each starts the work of a request.
};

struct replayed_request
{
    core::time_point first_asked_at;
    core::time_point arrived_at;
    int retries_left = caller_retries;
    std::uint64_t id = 0; ///< In the waiting queue; 0 before it waits.
    core::time_point tried_at{};
};

/// A service, its callers and the daemons before it, which are always of one opinion.
struct replay
{
    explicit replay(variant decisions) : decisions(decisions) {}

    variant decisions;
    model::event_queue queue;
    core::random_generator random{5};
    std::array<replayed_server, server_count> servers;
    routing::backend_set beliefs;
    stated_deadlines deadlines;
    admission::overload overload;
    core::duration usual_latency{};
    waiting_queue waiting;
    std::unordered_map<std::uint64_t, replayed_request> waiting_requests;
    std::uint64_t last_id = 0;
    std::optional<std::size_t> freed; ///< Server that has just responded.
    int in_time = 0;                  ///< Of all requests.
    int requests = 0;
};

routing::backend& belief_of(replay& replay, std::size_t server)
{
    return *replay.beliefs.by_id.at(std::to_string(server));
}

void wake_first(replay& replay);

void finish(replay& replay, std::size_t server)
{
    replayed_server& at = replay.servers.at(server);
    --at.running;
    if (!at.waiting.empty())
    {
        const auto next = at.waiting.front();
        at.waiting.pop_front();
        next();
    }
}

void run_work(replay& replay, std::size_t server, replayed_request request,
              core::time_point sent_at)
{
    replayed_server& at = replay.servers.at(server);
    ++at.running;
    const double factor = at.running == slots ? busy_factor : 1.0;
    const double spread = 0.5 + core::uniform(replay.random);
    const core::duration work = core::from_seconds(core::to_seconds(mean_work) * factor * spread);
    model::schedule(replay.queue, replay.queue.now + work,
                    [&replay, server, request, sent_at]
                    {
                        const core::time_point now = replay.queue.now;
                        replay.in_time += now - request.first_asked_at <= objective ? 1 : 0;
                        routing::on_response(replay.beliefs, belief_of(replay, server),
                                             now - sent_at, replay.usual_latency, now);
                        routing::route_latency usual{replay.usual_latency};
                        routing::record_latency(usual, now - sent_at);
                        replay.usual_latency = usual.median;
                        finish(replay, server);
                        replay.freed = server;
                        wake_first(replay);
                        replay.freed.reset();
                    });
}

void send(replay& replay, std::size_t server, const replayed_request& request)
{
    routing::on_sent(belief_of(replay, server));
    const core::time_point sent_at = replay.queue.now;
    if (replay.servers.at(server).running < slots)
    {
        run_work(replay, server, request, sent_at);
        return;
    }
    replay.servers.at(server).waiting.push_back([&replay, server, request, sent_at]
                                                { run_work(replay, server, request, sent_at); });
}

placement decide(const replay& replay, const replayed_request& request)
{
    const core::time_point now = replay.queue.now;
    if (replay.decisions == variant::in_time_first)
    {
        const core::duration stated =
            caller_deadline - (request.arrived_at - request.first_asked_at);
        return place({.since_arrival = now - request.arrived_at,
                      .since_first_attempt = now - request.arrived_at +
                                             time_since_first_attempt(replay.deadlines, stated),
                      .objective = objective,
                      .usual_latency = replay.usual_latency});
    }
    // A long delay is accepted, so that any place in a queue shorter than the slots counts.
    const bool any = now - request.arrived_at >= objective / 10;
    return {.accepted = routing::queueing::in_time,
            .max_delay = any ? 10s : objective - replay.usual_latency,
            .waits = !any};
}

// Returns the best of four servers by their current load, or nothing.
std::optional<std::size_t> select(replay& replay, const placement& wanted)
{
    std::optional<std::size_t> best;
    const core::time_point now = replay.queue.now;
    for (int i = 0; i < 4; ++i)
    {
        const std::size_t random = core::uniform_index(replay.random, server_count);
        const std::size_t server = i == 0 ? replay.freed.value_or(random) : random;
        const replayed_server& at = replay.servers.at(server);
        routing::on_load_reading(belief_of(replay, server),
                                 {.running = at.running,
                                  .waiting = static_cast<std::uint32_t>(at.waiting.size()),
                                  .slots = slots,
                                  .received_at = now},
                                 {});
        const bool fits = routing::has_capacity(replay.beliefs, belief_of(replay, server),
                                                wanted.accepted, wanted.max_delay, now);
        const auto cost = [&](std::size_t which)
        {
            return routing::expected_cost(replay.beliefs, belief_of(replay, which), now);
        };
        if (fits && (!best || cost(server) < cost(*best)))
        {
            best = server;
        }
    }
    return best;
}

void arrive(replay& replay, replayed_request request);

void refuse(replay& replay, replayed_request request)
{
    const core::time_point now = replay.queue.now;
    on_refused(replay.overload, now);
    const core::duration pause = replay.decisions == variant::in_time_first
                                     ? retry_after(replay.overload, now, replay.random)
                                     : 100ms;
    if (request.retries_left-- > 0 && now + pause < request.first_asked_at + caller_deadline)
    {
        model::schedule(replay.queue, now + pause, [&replay, request] { arrive(replay, request); });
    }
}

void try_servers(replay& replay, replayed_request request);

// Removes the request from the queue. The next one looks for a server if it was the first.
void stop_waiting(replay& replay, std::uint64_t id)
{
    replay.waiting_requests.erase(id);
    if (leave(replay.waiting, id))
    {
        model::schedule(replay.queue, replay.queue.now, [&replay] { wake_first(replay); });
    }
}

void wake(replay& replay, std::uint64_t id)
{
    if (replay.waiting_requests.contains(id))
    {
        try_servers(replay, replay.waiting_requests.at(id));
    }
}

void wake_first(replay& replay)
{
    if (const auto id = first(replay.waiting))
    {
        wake(replay, *id);
    }
}

// Does nothing if the request was woken meanwhile.
void look_again(replay& replay, std::uint64_t id)
{
    const auto found = replay.waiting_requests.find(id);
    if (found != replay.waiting_requests.end() &&
        replay.queue.now >= found->second.tried_at + poll_interval)
    {
        wake(replay, id);
    }
}

// The first one looks again soon; another waits until it is woken, at the latest until its start
// would be late.
void wait(replay& replay, replayed_request& request, const placement& wanted)
{
    const core::time_point now = replay.queue.now;
    const core::time_point latest_start = now + std::min(wanted.max_delay, objective);
    if (request.id == 0)
    {
        request.id = ++replay.last_id;
        enter(replay.waiting, {.id = request.id, .latest_start = latest_start});
        model::schedule(replay.queue, latest_start + 1ms,
                        [&replay, id = request.id] { wake(replay, id); });
    }
    request.tried_at = now;
    replay.waiting_requests[request.id] = request;
    if (first(replay.waiting) == request.id)
    {
        model::schedule(replay.queue, now + poll_interval,
                        [&replay, id = request.id] { look_again(replay, id); });
    }
}

void poll(replay& replay, const replayed_request& request)
{
    model::schedule(replay.queue, replay.queue.now + poll_interval,
                    [&replay, request] { try_servers(replay, request); });
}

void try_servers(replay& replay, replayed_request request)
{
    const placement wanted = decide(replay, request);
    const auto server = select(replay, wanted);
    if (!server && wanted.waits)
    {
        replay.decisions == variant::in_time_first ? wait(replay, request, wanted)
                                                   : poll(replay, request);
        return;
    }
    if (request.id != 0)
    {
        stop_waiting(replay, std::exchange(request.id, 0));
    }
    if (server)
    {
        send(replay, *server, request);
    }
    else
    {
        refuse(replay, request);
    }
}

void arrive(replay& replay, replayed_request request)
{
    request.arrived_at = replay.queue.now;
    if (!is_overloaded(replay.overload, replay.queue.now))
    {
        record(replay.deadlines, caller_deadline - (request.arrived_at - request.first_asked_at));
    }
    try_servers(replay, request);
}

/// Share of the requests of a burst that were served in time. Callers make `rate` requests/s for
/// 5 s, after two calm seconds.
double in_time_share(variant decisions, double rate)
{
    replay replay(decisions);
    replay.queue.now = start;
    for (std::size_t i = 0; i < server_count; ++i)
    {
        routing::apply_listing(replay.beliefs,
                               {.id = std::to_string(i), .service = "s", .slots = slots}, start);
    }
    core::time_point at = start;
    while (at < start + 7s)
    {
        const double now_rate = at < start + 2s ? 20.0 : rate;
        at += core::from_seconds(-std::log(1.0 - core::uniform(replay.random)) / now_rate);
        replay.requests += at >= start + 2s ? 1 : 0;
        model::schedule(replay.queue, at,
                        [&replay] { arrive(replay, {.first_asked_at = replay.queue.now}); });
    }
    model::run_until(replay.queue, start + 2s);
    replay.in_time = 0;
    model::run_until(replay.queue, start + 15s);
    return static_cast<double>(replay.in_time) / replay.requests;
}

/// Requests/s that the servers can work at with all slots taken.
constexpr double capacity = 1e3 * server_count * slots / (120.0 * busy_factor);

// Guards against a burst in which every response is late: each request waits for the work of those
// that took a place in a queue before it.
TEST(burst_replay, several_times_as_many_are_in_time_as_with_queues)
{
    for (const double load : {1.5, 2.0, 4.0, 10.0})
    {
        EXPECT_GE(in_time_share(variant::in_time_first, load * capacity),
                  2.0 * in_time_share(variant::any_place, load * capacity))
            << "at " << load << " times the capacity";
    }
}

// Guards against capacity that is lost in a burst to responses that are late, and to slots that
// stay free although requests are refused.
TEST(burst_replay, nine_tenths_of_the_capacity_serve_requests_in_time)
{
    for (const double load : {2.0, 4.0, 10.0})
    {
        EXPECT_GE(load * in_time_share(variant::in_time_first, load * capacity), 0.9)
            << "at " << load << " times the capacity";
    }
}

// Guards against refusing requests that the servers have capacity for.
TEST(burst_replay, a_load_within_the_capacity_is_served_in_time)
{
    EXPECT_GE(in_time_share(variant::in_time_first, 0.6 * capacity), 0.9);
}

} // namespace
} // namespace zinniaferry::admission
