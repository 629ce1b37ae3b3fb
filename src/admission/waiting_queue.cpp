#include "admission/waiting_queue.hpp"

#include <algorithm>
#include <tuple>

namespace zinniaferry::admission
{

namespace
{

/// Bounds the memory of the requests that one daemon holds for a service.
constexpr std::size_t max_waiters = 256;

bool goes_before(const waiter& a, const waiter& b)
{
    return std::make_tuple(a.priority, b.latest_start, b.id) <
           std::make_tuple(b.priority, a.latest_start, a.id);
}

auto find_waiter(const waiting_queue& queue, std::uint64_t id)
{
    return std::find_if(queue.waiters.begin(), queue.waiters.end(),
                        [id](const waiter& waiting) { return waiting.id == id; });
}

} // namespace

std::optional<std::uint64_t> enter(waiting_queue& queue, const waiter& entering)
{
    const auto position =
        std::upper_bound(queue.waiters.begin(), queue.waiters.end(), entering, goes_before);
    queue.waiters.insert(position, entering);
    if (queue.waiters.size() <= max_waiters)
    {
        return std::nullopt;
    }
    const std::uint64_t last = queue.waiters.back().id;
    queue.waiters.pop_back();
    return last;
}

bool leave(waiting_queue& queue, std::uint64_t id)
{
    const auto found = find_waiter(queue, id);
    if (found == queue.waiters.end())
    {
        return false;
    }
    const bool was_first = found == queue.waiters.begin();
    queue.waiters.erase(found);
    return was_first;
}

std::optional<std::uint64_t> first(const waiting_queue& queue)
{
    return queue.waiters.empty() ? std::nullopt : std::optional(queue.waiters.front().id);
}

bool contains(const waiting_queue& queue, std::uint64_t id)
{
    return find_waiter(queue, id) != queue.waiters.end();
}

} // namespace zinniaferry::admission
