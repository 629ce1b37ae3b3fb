#include "history/backend.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace zinniaferry::history
{

namespace
{

constexpr std::size_t longest_queue = 32;
constexpr core::duration mean_service_time = std::chrono::milliseconds(12);
constexpr double cold_slowness = 6.0;
constexpr std::uint32_t requests_until_warm = 30;

core::duration draw_service_time(const backend& server, core::random_generator& random)
{
    // A constant part and an exponential one, as lookups in caches and stores show.
    const double draw = 0.5 - 0.5 * std::log(1.0 - core::uniform(random));
    const double factor = server.slowness * (server.cold ? cold_slowness : 1.0);
    return core::from_seconds(core::to_seconds(mean_service_time) * draw * factor);
}

void start_waiting(backend& server, const backend_context& context);

void finish(backend& server, const backend_context& context, const attempt_pointer& request,
            std::uint64_t run)
{
    if (server.run != run)
    {
        return;
    }
    std::erase(server.running, request);
    if (server.cold && ++server.served_cold >= requests_until_warm)
    {
        server.cold = false;
    }
    // Work past its deadline is given up without an answer.
    if (context.queue.now < request->server_deadline)
    {
        context.answer(request, {.load_report = load_report(server)});
    }
    start_waiting(server, context);
}

void start(backend& server, const backend_context& context, const attempt_pointer& request)
{
    server.running.push_back(request);
    context.on_execute(*request);
    const core::time_point end = std::min(
        context.queue.now + draw_service_time(server, context.random), request->server_deadline);
    schedule(context.queue, end,
             [&server, context, request, run = server.run]
             { finish(server, context, request, run); });
}

void start_waiting(backend& server, const backend_context& context)
{
    while (!server.waiting.empty() && server.running.size() < server.slots)
    {
        const attempt_pointer next = server.waiting.front();
        server.waiting.pop_front();
        if (!next->cancelled && context.queue.now < next->server_deadline)
        {
            start(server, context, next);
        }
    }
}

} // namespace

void arrive(backend& server, const backend_context& context, const attempt_pointer& request)
{
    if (server.draining || server.waiting.size() >= longest_queue)
    {
        context.answer(request, {503, true, load_report(server)});
        return;
    }
    if (server.failing)
    {
        // The caller cannot know whether it ran, so it counts as run.
        context.on_execute(*request);
        context.answer(request, {500, false, load_report(server)});
        return;
    }
    server.waiting.push_back(request);
    start_waiting(server, context);
}

std::string load_report(const backend& server)
{
    if (server.lying)
    {
        return fmt::format("inflight=0;queue=0;slots={};state=serving", server.slots);
    }
    const char* state = server.draining ? "draining" : server.cold ? "cold" : "serving";
    return fmt::format("inflight={};queue={};slots={};state={}", server.running.size(),
                       server.waiting.size(), server.slots, state);
}

void turn_cold(backend& server)
{
    server.cold = true;
    server.served_cold = 0;
}

std::vector<attempt_pointer> go_down(backend& server)
{
    std::vector<attempt_pointer> out(server.running.begin(), server.running.end());
    out.insert(out.end(), server.waiting.begin(), server.waiting.end());
    server.running.clear();
    server.waiting.clear();
    server.up = false;
    ++server.run;
    return out;
}

std::uint32_t count_needing_allowance(const backend& server)
{
    const auto running =
        std::count_if(server.running.begin(), server.running.end(),
                      [](const attempt_pointer& request) { return request->needs_allowance; });
    // A running request is not stopped by the end of its connection; a waiting one is dropped.
    const auto waiting = std::count_if(server.waiting.begin(), server.waiting.end(),
                                       [](const attempt_pointer& request)
                                       { return request->needs_allowance && !request->cancelled; });
    return static_cast<std::uint32_t>(running + waiting);
}

} // namespace zinniaferry::history
