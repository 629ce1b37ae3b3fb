#include "model/backend_servers.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

constexpr std::uint32_t max_waiting = 12;
constexpr core::duration min_work = std::chrono::milliseconds(10);
constexpr core::duration max_extra_work = std::chrono::milliseconds(40);

core::duration work_time(world& world)
{
    return min_work +
           core::from_seconds(core::to_seconds(max_extra_work) * core::uniform(world.random));
}

// A failing server refuses half of the requests, and runs the others without a response.
bool refuses(world& world, const backend_server& server)
{
    const bool failing = world.queue.now < server.failing_until;
    return server.running >= server_slots + max_waiting ||
           (failing && core::uniform(world.random) < 0.5);
}

} // namespace

std::optional<routing::load_reading> load_of(const world& world, const std::string& server)
{
    const backend_server& target = world.servers.at(server);
    if (!target.up)
    {
        return std::nullopt;
    }
    const std::uint32_t running = std::min(target.running, server_slots);
    return routing::load_reading{.running = running,
                                 .waiting = target.running - running,
                                 .slots = server_slots,
                                 .received_at = world.queue.now};
}

core::duration warmup_left(const world& world, const std::string& server)
{
    return std::max(world.servers.at(server).cold_until - world.queue.now, core::duration());
}

void serve(world& world, const forwarded_request& request, std::function<void(exchange_end)> on_end)
{
    backend_server& server = world.servers.at(request.server);
    if (!server.up)
    {
        on_end(exchange_end::unreachable);
        return;
    }
    const bool runs = !refuses(world, server);
    world.history.arrivals.push_back({.request = request.request,
                                      .daemon = request.daemon,
                                      .server = server.id,
                                      .incarnation = server.incarnation,
                                      .service = server.service,
                                      .data_centre = server.data_centre,
                                      .account = request.account,
                                      .sent_at = request.sent_at,
                                      .arrived_at = world.queue.now,
                                      .ran = runs,
                                      .server_cold = world.queue.now < server.cold_until});
    if (!runs)
    {
        on_end(exchange_end::not_run);
        return;
    }
    ++server.running;
    const std::uint64_t incarnation = server.incarnation;
    const bool failing = world.queue.now < server.failing_until;
    schedule(world.queue, world.queue.now + work_time(world),
             [&server, incarnation, failing, on_end = std::move(on_end)]
             {
                 const bool ended = !server.up || server.incarnation != incarnation;
                 server.running -= !ended && server.running > 0 ? 1 : 0;
                 on_end(ended || failing ? exchange_end::lost : exchange_end::answered);
             });
}

} // namespace zinniaferry::model
