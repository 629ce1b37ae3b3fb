/// Events in the order of virtual time; events of one moment keep the order of scheduling.
#pragma once

#include "core/time.hpp"

#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace zinniaferry::bench
{

struct event
{
    core::time_point when;
    std::uint64_t order = 0;
    std::size_t action = 0;

    bool operator>(const event& other) const
    {
        return std::pair(when, order) > std::pair(other.when, other.order);
    }
};

struct event_loop
{
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<std::function<void()>> actions;
    std::vector<std::size_t> free_actions;
    std::uint64_t scheduled = 0;
    core::time_point now{};
};

inline void schedule(event_loop& loop, core::duration delay, std::function<void()> act)
{
    std::size_t place = loop.actions.size();
    if (loop.free_actions.empty())
    {
        loop.actions.push_back(std::move(act));
    }
    else
    {
        place = loop.free_actions.back();
        loop.free_actions.pop_back();
        loop.actions[place] = std::move(act);
    }
    loop.events.push({.when = loop.now + delay, .order = loop.scheduled++, .action = place});
}

inline void run_until(event_loop& loop, core::time_point end)
{
    while (!loop.events.empty() && loop.events.top().when <= end)
    {
        const event next = loop.events.top();
        loop.events.pop();
        loop.now = next.when;
        const std::function<void()> act = std::move(loop.actions[next.action]);
        loop.free_actions.push_back(next.action);
        act();
    }
}

} // namespace zinniaferry::bench
