/// A backend server in virtual time: slots, a bounded queue and a speed that neighbours change.
#pragma once

#include "core/random.hpp"
#include "core/time.hpp"
#include "routing/load_report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <numbers>
#include <vector>

namespace zinniaferry::bench
{

/// Speeds that noisy neighbours leave to a server, with the part of the time they last.
struct noise_level
{
    double speed = 1.0;
    double part = 1.0;
};
inline constexpr noise_level noise_levels[] = {{1.0, 0.75}, {0.4, 0.15}, {0.1, 0.10}};
inline constexpr core::duration noise_min = std::chrono::milliseconds(2);
inline constexpr core::duration noise_max = std::chrono::milliseconds(20);

/// Returns the long-run average speed under the noise.
inline double mean_speed()
{
    double sum = 0.0;
    for (const noise_level& level : noise_levels)
    {
        sum += level.speed * level.part;
    }
    return sum;
}

/// Returns the speed that neighbours leave next.
inline double draw_noise(core::random_generator& random)
{
    double draw = core::uniform(random);
    for (const noise_level& level : noise_levels)
    {
        draw -= level.part;
        if (draw < 0.0)
        {
            return level.speed;
        }
    }
    return 1.0;
}

/// Returns how long that speed lasts.
inline core::duration draw_noise_length(core::random_generator& random)
{
    return noise_min +
           core::from_seconds(core::to_seconds(noise_max - noise_min) * core::uniform(random));
}

/// Returns a service time from a log-normal distribution with the given mean in seconds.
inline double draw_work(double mean, core::random_generator& random)
{
    constexpr double sigma = 0.6;
    const double u = 1.0 - core::uniform(random);
    const double v = core::uniform(random);
    const double normal = std::sqrt(-2.0 * std::log(u)) * std::cos(2.0 * std::numbers::pi * v);
    return mean * std::exp(sigma * normal - sigma * sigma / 2.0);
}

struct task
{
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    double work = 0.0; ///< Seconds at full speed that are left.
};

enum class report_kind
{
    prompt,
    stale,     ///< The load of some time ago.
    misleading ///< Always idle.
};

struct backend
{
    std::uint32_t slots = 2;
    std::size_t queue_limit = 32;
    std::vector<task> running;
    std::deque<task> queue;
    double noise = 1.0;
    double slowdown = 1.0; ///< Factor on the speed of a server that has become slow.
    bool fails_fast = false;
    report_kind reports = report_kind::prompt;
    core::time_point updated;
    std::uint64_t version = 0; ///< Tells outdated completion events apart.
    /// Load as it was at recent samples, for stale reports.
    std::deque<std::pair<core::time_point, routing::load_report>> history;
};

inline double speed(const backend& server)
{
    return server.noise * server.slowdown;
}

/// Applies the time since the last update to the running work.
inline void advance(backend& server, core::time_point now)
{
    const double done = core::to_seconds(now - server.updated) * speed(server);
    for (task& entry : server.running)
    {
        entry.work -= done;
    }
    server.updated = now;
}

inline void fill_slots(backend& server)
{
    while (server.running.size() < server.slots && !server.queue.empty())
    {
        server.running.push_back(server.queue.front());
        server.queue.pop_front();
    }
}

/// Returns when the next running task ends, or the maximum when none runs.
inline core::time_point next_completion(const backend& server)
{
    if (server.running.empty())
    {
        return core::time_point::max();
    }
    const auto first =
        std::min_element(server.running.begin(), server.running.end(),
                         [](const task& a, const task& b) { return a.work < b.work; });
    return server.updated + core::from_seconds(std::max(first->work, 0.0) / speed(server)) +
           std::chrono::nanoseconds(1);
}

inline routing::load_report load_of(const backend& server)
{
    return {.in_flight = static_cast<std::uint32_t>(server.running.size()),
            .queued = static_cast<std::uint32_t>(server.queue.size()),
            .slots = server.slots};
}

/// Returns what the server says about its load, which may lag or mislead.
inline routing::load_report stated_load(backend& server, core::time_point now)
{
    constexpr core::duration lag = std::chrono::milliseconds(40);
    if (server.reports == report_kind::misleading)
    {
        return {.slots = server.slots};
    }
    if (server.reports == report_kind::prompt)
    {
        return load_of(server);
    }
    server.history.emplace_back(now, load_of(server));
    while (server.history.size() > 1 && server.history[1].first + lag <= now)
    {
        server.history.pop_front();
    }
    return server.history.front().second;
}

} // namespace zinniaferry::bench
