#include "model/event_queue.hpp"

#include <algorithm>

namespace zinniaferry::model
{

void schedule(event_queue& queue, core::time_point at, action run)
{
    queue.actions.push({std::max(at, queue.now), queue.next_number++, std::move(run)});
}

void run_until(event_queue& queue, core::time_point end)
{
    while (!queue.actions.empty() && queue.actions.top().at <= end)
    {
        const scheduled_action next = queue.actions.top();
        queue.actions.pop();
        queue.now = next.at;
        next.run();
    }
    queue.now = end;
}

} // namespace zinniaferry::model
