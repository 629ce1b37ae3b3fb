/// Replays a burst of several priorities on a service behind many daemons in virtual time. The
/// daemons decide by a summary of the fleet's load that is old when they get it, or by themselves.
#include "admission/placement.hpp"
#include "admission/prioritised_services.hpp"
#include "admission/priority_admission.hpp"
#include "model/event_queue.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <vector>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
constexpr core::duration mean_work = 200ms;
constexpr core::duration summary_interval = 400ms;
constexpr core::duration summary_age = 500ms; ///< When a daemon gets it.
constexpr std::size_t daemon_count = 100;
constexpr std::size_t server_count = 20;
constexpr std::uint32_t slots = 3;
constexpr double capacity = 5.0 * server_count * slots; ///< Requests/s.

constexpr double calm_load = 0.2; ///< Of each priority, in multiples of the capacity.

/// What the daemons know of the fleet's load.
enum class hearing
{
    summaries,
    nothing
};

/// What the callers of one priority ask for, in multiples of the capacity.
struct demand
{
    core::duration objective;
    double load;
    int asked = 0;
    int in_time = 0;
};

struct replayed_request
{
    std::uint32_t priority;
    core::time_point first_asked_at;
    core::time_point arrived_at{};
    std::size_t daemon = 0;
    double fraction = 0.0;
    int retries_left = 1;
    bool is_waiting = false;
};

struct replayed_daemon
{
    load_meter meter;
    priority_admission admission;
};

struct replayed_server
{
    std::uint32_t running = 0;
    std::deque<replayed_request> queue;
};

struct replay
{
    std::vector<demand> demands;
    model::event_queue events{.now = start};
    core::random_generator random{7};
    std::vector<replayed_daemon> daemons = std::vector<replayed_daemon>(daemon_count);
    std::vector<replayed_server> servers = std::vector<replayed_server>(server_count);
    fleet_load summary;
    core::time_point counted_from = start + 2s;
};

admission_decision decide_now(replay& replay, const replayed_request& request)
{
    replayed_daemon& daemon = replay.daemons.at(request.daemon);
    const core::time_point now = replay.events.now;
    const service_load* fleet = find_recent(replay.summary, "s", now);
    update(daemon.admission, fleet != nullptr ? *fleet : read(daemon.meter, now), mean_work, now);
    return decide(daemon.admission, request.priority, request.fraction);
}

void run(replay& replay, std::size_t server, const replayed_request& request)
{
    ++replay.servers.at(server).running;
    const double spread = 0.5 + core::uniform(replay.random);
    const core::duration work = core::from_seconds(core::to_seconds(mean_work) * spread);
    model::schedule(replay.events, replay.events.now + work,
                    [&replay, server, request]
                    {
                        const core::time_point now = replay.events.now;
                        demand& of = replay.demands.at(request.priority);
                        of.in_time += request.first_asked_at >= replay.counted_from &&
                                              now - request.first_asked_at <= of.objective
                                          ? 1
                                          : 0;
                        on_attempt_ended(replay.daemons.at(request.daemon).meter, true, now);
                        replayed_server& at = replay.servers.at(server);
                        --at.running;
                        if (!at.queue.empty())
                        {
                            const replayed_request next = at.queue.front();
                            at.queue.pop_front();
                            run(replay, server, next);
                        }
                    });
}

// Sends the request to the least busy of four servers if that has capacity for it.
bool send(replay& replay, const replayed_request& request, const placement& wanted)
{
    std::size_t best = core::uniform_index(replay.random, server_count);
    const auto load = [&](std::size_t server)
    {
        return replay.servers.at(server).running + replay.servers.at(server).queue.size();
    };
    for (int i = 0; i < 3; ++i)
    {
        const std::size_t other = core::uniform_index(replay.random, server_count);
        best = load(other) < load(best) ? other : best;
    }
    const auto queue_time =
        mean_work * (load(best) + 1 - std::min<std::size_t>(load(best), slots)) / slots;
    const bool may_queue = wanted.accepted == routing::queueing::in_time &&
                           queue_time <= wanted.max_delay && load(best) < 2UL * slots;
    if (load(best) >= slots && !may_queue)
    {
        return false;
    }
    on_attempt_began(replay.daemons.at(request.daemon).meter);
    if (load(best) >= slots)
    {
        replay.servers.at(best).queue.push_back(request);
        return true;
    }
    run(replay, best, request);
    return true;
}

void arrive(replay& replay, replayed_request request);

void reject(replay& replay, replayed_request request)
{
    const priority_admission& state = replay.daemons.at(request.daemon).admission;
    const core::duration pause =
        state.is_short ? retry_after(state, request.priority, replay.random) : 100ms;
    if (request.retries_left-- > 0)
    {
        model::schedule(replay.events, replay.events.now + pause,
                        [&replay, request] { arrive(replay, request); });
    }
}

void set_waiting(replay& replay, replayed_request& request, bool waiting)
{
    if (request.is_waiting != waiting)
    {
        load_meter& meter = replay.daemons.at(request.daemon).meter;
        waiting ? on_wait_began(meter) : on_wait_ended(meter);
        request.is_waiting = waiting;
    }
}

void try_servers(replay& replay, replayed_request request)
{
    const core::time_point now = replay.events.now;
    placement wanted = place({.since_arrival = now - request.arrived_at,
                              .since_first_attempt = now - request.first_asked_at,
                              .objective = replay.demands.at(request.priority).objective,
                              .usual_latency = mean_work});
    if (decide_now(replay, request) != admission_decision::unrestricted)
    {
        wanted.accepted = routing::queueing::none;
    }
    const bool sent = send(replay, request, wanted);
    set_waiting(replay, request, !sent && wanted.waits);
    if (!sent && wanted.waits)
    {
        model::schedule(replay.events, now + 30ms,
                        [&replay, request] { try_servers(replay, request); });
    }
    else if (!sent)
    {
        on_rejected(replay.daemons.at(request.daemon).meter, request.priority, now);
        reject(replay, request);
    }
}

void arrive(replay& replay, replayed_request request)
{
    request.arrived_at = replay.events.now;
    request.daemon = core::uniform_index(replay.random, daemon_count);
    request.fraction = core::uniform(replay.random);
    on_arrival(replay.daemons.at(request.daemon).meter, request.priority, request.arrived_at);
    if (decide_now(replay, request) == admission_decision::rejected)
    {
        reject(replay, request);
        return;
    }
    try_servers(replay, request);
}

void send_summary(replay& replay)
{
    service_load sum;
    for (const replayed_daemon& daemon : replay.daemons)
    {
        add(sum, read(daemon.meter, replay.events.now));
    }
    model::schedule(replay.events, replay.events.now + summary_age,
                    [&replay, sum] {
                        replay.summary = {.by_service = {{"s", sum}}, .as_of = replay.events.now};
                    });
    model::schedule(replay.events, replay.events.now + summary_interval,
                    [&replay] { send_summary(replay); });
}

void make_requests(replay& replay, std::uint32_t priority)
{
    demand& of = replay.demands.at(priority);
    core::time_point at = start;
    while (at < start + 12s)
    {
        const double load = at < start + 2s ? calm_load : of.load;
        const double rate = load * capacity;
        at += core::from_seconds(-std::log(1.0 - core::uniform(replay.random)) / rate);
        of.asked += at >= replay.counted_from ? 1 : 0;
        model::schedule(
            replay.events, at,
            [&replay, priority]
            { arrive(replay, {.priority = priority, .first_asked_at = replay.events.now}); });
    }
}

/// Plays 2 s of calm, a burst of 10 s, and 3 s without requests. Returns the share that was served
/// in time of each priority, and that of all as the last element.
std::vector<double> play(std::vector<demand> demands, hearing hears = hearing::summaries)
{
    replay replay{.demands = std::move(demands)};
    if (hears == hearing::summaries)
    {
        send_summary(replay);
    }
    for (std::uint32_t priority = 0; priority < replay.demands.size(); ++priority)
    {
        make_requests(replay, priority);
    }
    model::run_until(replay.events, start + 15s);
    std::vector<double> shares;
    demand all{};
    for (const demand& of : replay.demands)
    {
        shares.push_back(static_cast<double>(of.in_time) / of.asked);
        all.in_time += of.in_time;
        all.asked += of.asked;
    }
    shares.push_back(static_cast<double>(all.in_time) / all.asked);
    return shares;
}

// Guards against urgent requests that are late or refused because less urgent ones of a longer
// objective take the slots and queues, and against capacity that is left unused for them.
TEST(priority_admission, urgent_requests_are_in_time_whatever_the_load_of_others)
{
    for (const double load : {1.5, 3.5, 9.5})
    {
        const std::vector<double> in_time = play({{500ms, 0.5}, {1000ms, load}});
        EXPECT_GE(in_time.at(0), 0.9) << load;
        EXPECT_GE(in_time.at(1), 0.25 * in_time.back()) << load;
        EXPECT_GE((0.5 + load) * in_time.back(), 0.9) << load;
    }
}

// Guards against a priority that gets nothing while more urgent requests exceed the capacity.
TEST(priority_admission, no_priority_starves_behind_urgent_ones)
{
    const std::vector<double> in_time = play({{500ms, 2.5}, {1000ms, 0.5}});
    EXPECT_GE(in_time.at(0), in_time.at(1));
    EXPECT_GE(in_time.at(1), 0.25 * in_time.back());
}

// Guards against shares that do not follow the order of more than two priorities.
TEST(priority_admission, three_priorities_are_served_in_their_order)
{
    const std::vector<double> in_time = play({{500ms, 0.4}, {1000ms, 0.8}, {800ms, 1.0}});
    EXPECT_GE(in_time.at(0), in_time.at(1));
    EXPECT_GE(in_time.at(1), in_time.at(2));
    EXPECT_GE(in_time.at(2), 0.25 * in_time.back());
}

// Guards against urgent requests of a split that lose to the requests of the service's own route.
TEST(priority_admission, the_few_urgent_requests_of_a_split_come_first)
{
    const std::vector<double> in_time = play({{500ms, 0.05}, {1000ms, 2.0}});
    EXPECT_GE(in_time.at(0), 0.9);
}

// Guards against rejecting requests that the service has capacity for.
TEST(priority_admission, a_load_within_the_capacity_is_served)
{
    const std::vector<double> in_time = play({{500ms, 0.3}, {1000ms, 0.6}});
    EXPECT_GE(in_time.at(0), 0.9);
    EXPECT_GE(in_time.at(1), 0.9);
}

// Guards against daemons that serve the less urgent first, or leave slots unused, while no hub
// tells them the fleet's load.
TEST(priority_admission, daemons_without_a_summary_keep_the_order)
{
    for (const double load : {1.5, 3.5})
    {
        const std::vector<double> in_time = play({{500ms, 0.5}, {1000ms, load}}, hearing::nothing);
        EXPECT_GE(in_time.at(0), in_time.at(1)) << load;
        EXPECT_GE(in_time.at(1), 0.25 * in_time.back()) << load;
        EXPECT_GE((0.5 + load) * in_time.back(), 0.9) << load;
    }
}

service_load saturated_load()
{
    service_load load{.running = 20.0, .waiting = 10.0, .completions = 100.0};
    load.by_priority.at(0) = {.arrivals = 60.0};
    load.by_priority.at(2) = {.arrivals = 100.0, .rejections = 20.0};
    return load;
}

// Guards against a service that admits nothing, and so is never found to have capacity, because it
// has not responded yet.
TEST(priority_admission, a_service_without_responses_is_not_short)
{
    service_load load = saturated_load();
    load.running = 0.0;
    load.completions = 0.0;
    priority_admission state;
    update(state, load, 200ms, start);
    EXPECT_EQ(decide(state, 2, 0.99), admission_decision::free_slots);
}

// Guards against a service that stays short after a burst, or flaps while the burst lasts.
TEST(priority_admission, a_shortage_ends_two_seconds_after_the_last_saturation)
{
    priority_admission state;
    update(state, saturated_load(), 200ms, start);
    EXPECT_EQ(decide(state, 2, 0.99), admission_decision::rejected);
    EXPECT_EQ(decide(state, 0, 0.99), admission_decision::unrestricted);
    service_load calm{.running = 10.0, .completions = 50.0};
    calm.by_priority.at(2) = {.arrivals = 300.0};
    update(state, calm, 200ms, start + 1900ms);
    EXPECT_EQ(decide(state, 2, 0.99), admission_decision::rejected);
    EXPECT_GE(state.capacity, 95.0) << "fewer responses do not lower it";
    update(state, calm, 200ms, start + 2s);
    EXPECT_EQ(decide(state, 2, 0.99), admission_decision::unrestricted);
}

// Guards against callers that return together, or before more urgent ones, and find no capacity.
TEST(priority_admission, callers_return_by_urgency_and_as_fast_as_the_service_works)
{
    priority_admission state;
    update(state, saturated_load(), 200ms, start);
    core::random_generator random{3};
    const core::duration waiting_time =
        core::duration(10s) / 95; // Of 10 requests at 95 requests/s.
    int early = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const core::duration urgent = retry_after(state, 0, random);
        const core::duration other = retry_after(state, 2, random);
        EXPECT_GE(urgent, 100ms);
        EXPECT_LE(urgent, other);
        EXPECT_LE(other, 1500ms);
        early += other < 100ms + waiting_time + 200ms ? 1 : 0;
    }
    // About 91 callers are rejected in a second, and the service takes 19 in 200 ms.
    EXPECT_NEAR(early, 1000 * 19 / 91, 40);
}

// Guards against new decisions for services whose requests are all alike, and against overlooking
// priorities that meet through a split or an account.
TEST(prioritised_services, are_those_at_which_different_priorities_meet)
{
    config::configuration config;
    config.routes = {{.prefix = "/a", .split = {{"own"}, {"shared"}}, .priority = 0},
                     {.prefix = "/b", .service = "shared", .priority = 1},
                     {.prefix = "/c", .service = "other", .priority = 1}};
    EXPECT_EQ(prioritised_services(config), (std::unordered_set<std::string>{"shared"}));
    config.accounts = {{.name = "x", .priority = 1}};
    EXPECT_EQ(prioritised_services(config), (std::unordered_set<std::string>{"own", "shared"}));
}

} // namespace
} // namespace zinniaferry::admission
