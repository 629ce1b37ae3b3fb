#include "routing/admission_queue.hpp"

#include <algorithm>

namespace zinniaferry::routing
{

namespace
{

constexpr double latency_gain = 0.05; ///< Weight of one answer in the average latency.

/// Answers in a window before its averages count. The first few would set a best latency by chance
/// that the service never reaches again, and the limit would fall to its minimum.
constexpr std::uint32_t settled_answers = 50;

std::size_t class_of(const queued_request& request)
{
    return static_cast<std::size_t>(request.priority);
}

core::duration blend(core::duration average, core::duration sample)
{
    if (average == core::duration::zero())
    {
        return sample;
    }
    return average + core::duration(static_cast<core::duration::rep>(
                         static_cast<double>((sample - average).count()) * latency_gain));
}

/// Returns the time that an answer takes from now. With nothing in flight the estimate may be
/// out of date, and only a request sent can renew it.
core::duration expected_latency(const admission_queue& queue)
{
    return queue.in_flight == 0 ? core::duration::zero() : queue.latency + queue.spread;
}

void note_best(admission_queue& queue, core::time_point now)
{
    if (queue.settling < settled_answers)
    {
        ++queue.settling;
        return;
    }
    if (queue.best_latency == core::duration::zero())
    {
        queue.best_latency = queue.latency;
        queue.window_best = queue.latency;
        queue.window_start = now;
    }
    if (now - queue.window_start > queue.options.baseline_window)
    {
        // A lasting overload must not become the new normal, so the best latency rises slowly.
        constexpr double drift = 1.05;
        const double highest = core::to_seconds(queue.best_latency) * drift;
        queue.best_latency = std::min(queue.window_best, core::from_seconds(highest));
        queue.window_best = queue.latency;
        queue.window_start = now;
    }
    queue.window_best = std::min(queue.window_best, queue.latency);
    queue.best_latency = std::min(queue.best_latency, queue.latency);
}

void lower_limit(admission_queue& queue, core::time_point now)
{
    // The effect of a decrease shows only after the requests in flight are answered.
    if (now - queue.last_decrease > queue.latency)
    {
        queue.limit = std::max(queue.options.min_limit, queue.limit * queue.options.decrease);
        queue.last_decrease = now;
    }
}

void take_latency(admission_queue& queue, core::duration latency, bool limit_was_used,
                  core::time_point now)
{
    queue.spread = blend(queue.spread, std::chrono::abs(latency - queue.latency));
    queue.latency = blend(queue.latency, latency);
    note_best(queue, now);
    const bool overloaded = queue.best_latency > core::duration::zero() &&
                            core::to_seconds(queue.latency) >
                                core::to_seconds(queue.best_latency) * queue.options.tolerance;
    if (overloaded)
    {
        lower_limit(queue, now);
    }
    else if (limit_was_used)
    {
        queue.limit = std::min(queue.options.max_limit, queue.limit + 1.0 / queue.limit);
    }
}

} // namespace

admission_queue make_admission_queue(admission_options options)
{
    admission_queue queue;
    queue.options = options;
    queue.limit = options.initial_limit;
    return queue;
}

void set_fair_share(admission_queue& queue, std::uint32_t slots_of_service, std::uint32_t max_vms)
{
    // Requests on their way to a server and back occupy the limit but no slot.
    constexpr double transit = 1.5;
    const double part = static_cast<double>(slots_of_service) / std::max(max_vms, 1U);
    queue.options.min_limit = std::max(1.0, part * transit);
    queue.limit = std::max(queue.limit, queue.options.min_limit);
}

std::vector<queued_request> enqueue(admission_queue& queue, queued_request request,
                                    core::time_point now)
{
    request.enqueued = now;
    request.sequence = queue.arrivals++;
    queue.waiting.at(class_of(request))
        .emplace(std::pair(request.deadline, request.sequence), request);
    std::vector<queued_request> out;
    while (waiting_count(queue) > queue.options.capacity)
    {
        const auto least = std::find_if(queue.waiting.rbegin(), queue.waiting.rend(),
                                        [](const auto& list) { return !list.empty(); });
        const auto last = std::prev(least->end());
        ++queue.shed.at(class_of(last->second));
        out.push_back(last->second);
        least->erase(last);
    }
    return out;
}

std::optional<queued_request> dequeue(admission_queue& queue, core::time_point now)
{
    double allowed = queue.limit + queue.options.order_room;
    const core::time_point answer_at = now + expected_latency(queue);
    for (auto& list : queue.waiting)
    {
        if (queue.in_flight + 1.0 > allowed)
        {
            return std::nullopt;
        }
        allowed = queue.limit;
        const auto first = list.upper_bound({answer_at, UINT64_MAX});
        if (first != list.end())
        {
            const queued_request request = first->second;
            list.erase(first);
            ++queue.in_flight;
            return request;
        }
    }
    return std::nullopt;
}

bool remove(admission_queue& queue, const queued_request& request)
{
    auto& list = queue.waiting.at(class_of(request));
    auto at = list.lower_bound({request.deadline, 0});
    while (at != list.end() && at->first.first == request.deadline && at->second.id != request.id)
    {
        ++at;
    }
    if (at == list.end() || at->second.id != request.id)
    {
        return false;
    }
    list.erase(at);
    return true;
}

std::vector<queued_request> take_expired(admission_queue& queue, core::time_point now)
{
    std::vector<queued_request> out;
    const core::time_point answer_at = now + expected_latency(queue);
    for (auto& list : queue.waiting)
    {
        while (!list.empty() && list.begin()->first.first <= answer_at)
        {
            out.push_back(list.begin()->second);
            ++queue.expired.at(class_of(out.back()));
            list.erase(list.begin());
        }
    }
    return out;
}

void on_finished(admission_queue& queue, finish how, core::duration latency, core::time_point now)
{
    const bool limit_was_used = queue.in_flight + 1.0 > queue.limit;
    queue.in_flight -= queue.in_flight > 0 ? 1 : 0;
    switch (how)
    {
    case finish::answered:
        take_latency(queue, latency, limit_was_used, now);
        break;
    case finish::refused:
    case finish::failed:
        lower_limit(queue, now);
        break;
    case finish::ignored:
        break;
    }
}

std::size_t waiting_count(const admission_queue& queue)
{
    return queue.waiting[0].size() + queue.waiting[1].size() + queue.waiting[2].size();
}

boost::json::object dump(const admission_queue& queue, core::time_point now)
{
    boost::json::object out{{"limit", queue.limit},
                            {"in_flight", queue.in_flight},
                            {"latency_ms", core::to_seconds(queue.latency) * 1e3},
                            {"best_latency_ms", core::to_seconds(queue.best_latency) * 1e3}};
    boost::json::object classes;
    for (std::size_t i = 0; i < queue.waiting.size(); ++i)
    {
        const auto& list = queue.waiting.at(i);
        core::time_point oldest = now;
        for (const auto& [key, request] : list)
        {
            oldest = std::min(oldest, request.enqueued);
        }
        classes[config::to_string(static_cast<config::request_class>(i))] = {
            {"waiting", list.size()},
            {"oldest_ms", core::to_seconds(now - oldest) * 1e3},
            {"shed", queue.shed.at(i)},
            {"expired", queue.expired.at(i)}};
    }
    out["classes"] = std::move(classes);
    return out;
}

} // namespace zinniaferry::routing
