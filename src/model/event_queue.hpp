/// Virtual time of the model: actions that run in the order of their times.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace zinniaferry::model
{

using action = std::function<void()>;

struct scheduled_action
{
    core::time_point at;
    std::uint64_t number = 0; ///< Order among actions of the same time.
    action run;
};

/// Orders the earliest action first in a std::priority_queue.
struct is_later
{
    bool operator()(const scheduled_action& a, const scheduled_action& b) const
    {
        return a.at != b.at ? a.at > b.at : a.number > b.number;
    }
};

struct event_queue
{
    core::time_point now;
    std::uint64_t next_number = 0;
    std::priority_queue<scheduled_action, std::vector<scheduled_action>, is_later> actions;
};

/// All functions: not thread safe for the same event_queue.

/// Runs the action at `at`, or at once after the current one if `at` has passed.
void schedule(event_queue& queue, core::time_point at, action run);

/// Runs all actions up to `end`, and sets the time to `end`.
void run_until(event_queue& queue, core::time_point end);

} // namespace zinniaferry::model
