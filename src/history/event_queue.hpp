/// Virtual time: events in order of time, and in order of scheduling at the same time.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace zinniaferry::history
{

struct scheduled_event
{
    core::time_point at{};
    std::uint64_t sequence = 0;
    std::function<void()> run;
};

struct later_event
{
    bool operator()(const scheduled_event& a, const scheduled_event& b) const
    {
        return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
};

struct event_queue
{
    core::time_point now{};
    std::uint64_t next_sequence = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, later_event> events;
};

/// Schedules an event; a time in the past counts as now. Not thread safe.
inline void schedule(event_queue& queue, core::time_point at, std::function<void()> run)
{
    queue.events.push({std::max(at, queue.now), queue.next_sequence++, std::move(run)});
}

/// Carries out the events up to and including `until` and sets the time to it. Not thread safe.
inline void run_until(event_queue& queue, core::time_point until)
{
    while (!queue.events.empty() && queue.events.top().at <= until)
    {
        // The event may schedule others, which moves the queue's elements.
        const auto run = std::move(const_cast<scheduled_event&>(queue.events.top()).run);
        queue.now = queue.events.top().at;
        queue.events.pop();
        run();
    }
    queue.now = until;
}

} // namespace zinniaferry::history
