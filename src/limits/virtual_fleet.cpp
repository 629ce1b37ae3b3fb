#include "limits/virtual_fleet.hpp"

#include "fleet/codec.hpp"
#include "net/peer_frame.hpp"

#include <algorithm>

namespace zinniaferry::limits
{

namespace
{

constexpr core::duration tick_interval = std::chrono::milliseconds(10);
constexpr core::duration hearing_interval = std::chrono::seconds(1);
// As in fleet/membership: a peer is alive until it was unheard for so long.
constexpr core::duration suspect_after = std::chrono::seconds(5);

core::time_point local_time(const virtual_fleet& fleet, const virtual_process& process)
{
    return fleet.now + process.clock_offset;
}

void push(virtual_fleet& fleet, virtual_event event)
{
    event.sequence = fleet.next_sequence++;
    fleet.events.push(std::move(event));
}

core::duration draw_delay(virtual_fleet& fleet)
{
    const network_options& network = fleet.network;
    const bool late = core::uniform(fleet.random) < network.late;
    fleet.faults.late += late ? 1 : 0;
    const core::duration longest = late ? network.latest : network.longest_delay;
    return core::from_seconds(core::to_seconds(network.shortest_delay) +
                              core::uniform(fleet.random) *
                                  core::to_seconds(longest - network.shortest_delay));
}

std::size_t index_of(const std::string& vm)
{
    return static_cast<std::size_t>(std::stoul(vm.substr(2)));
}

void send(virtual_fleet& fleet, virtual_process& from, const std::vector<fleet::outgoing>& messages)
{
    for (const fleet::outgoing& message : messages)
    {
        from.bytes_sent += wire_bytes({.from = from.id, .body = message.body});
        ++fleet.messages_sent;
        fleet.loan_messages_sent += message.body.index() >= 6 && message.body.index() <= 8 ? 1 : 0;
        const std::size_t to = index_of(message.to_vm);
        if (fleet.processes[to].side != from.side)
        {
            ++fleet.faults.cut;
            continue;
        }
        if (core::uniform(fleet.random) < fleet.network.loss)
        {
            ++fleet.faults.lost;
            continue;
        }
        const bool twice = core::uniform(fleet.random) < fleet.network.duplicate;
        fleet.faults.duplicated += twice ? 1 : 0;
        for (int copy = 0; copy < (twice ? 2 : 1); ++copy)
        {
            push(fleet, {.at = fleet.now + draw_delay(fleet),
                         .process = to,
                         .what = fleet::message{.from = from.id, .body = message.body}});
        }
    }
}

std::vector<std::string> alive_peers(const virtual_fleet& fleet, const virtual_process& process)
{
    std::vector<std::string> alive;
    for (const auto& [vm, heard] : process.last_heard)
    {
        if (vm != process.id.vm && fleet.now - heard < suspect_after &&
            !fleet.processes[index_of(vm)].stopping)
        {
            alive.push_back(vm);
        }
    }
    return alive;
}

// Stands for heartbeats: whoever runs and is reachable is heard.
void hear(virtual_fleet& fleet, virtual_process& process)
{
    for (const virtual_process& peer : fleet.processes)
    {
        const bool heard =
            peer.running && peer.side == process.side && fleet.now >= peer.paused_until;
        if (heard)
        {
            process.last_heard[peer.id.vm] = fleet.now;
        }
    }
}

void settle_waiting(virtual_fleet& fleet, virtual_process& process)
{
    for (const resolution& end : resolve_waiting(process.limiter, local_time(fleet, process)))
    {
        fleet.on_end({.account = end.account,
                      .request_id = end.request_id,
                      .admitted = end.outcome.result == verdict::admitted,
                      .retry_after = end.outcome.retry_after,
                      .at = fleet.now});
    }
}

void set_pools(virtual_fleet& fleet, virtual_process& process)
{
    const core::time_point now = local_time(fleet, process);
    for (std::uint32_t group = 0; group < process.lease.pool_groups; ++group)
    {
        set_pool(process.limiter, group,
                 held_until(process.lease, group, now).value_or(core::time_point{}), now);
    }
}

void tick_process(virtual_fleet& fleet, virtual_process& process)
{
    const core::time_point now = local_time(fleet, process);
    const bool hearing = fleet.now.time_since_epoch() % hearing_interval < tick_interval;
    if (hearing || process.last_heard.empty())
    {
        hear(fleet, process);
    }
    const std::vector<std::string> alive = alive_peers(fleet, process);
    for (std::uint32_t group = 0; process.stopping && group < process.lease.pool_groups; ++group)
    {
        if (pool_busy_until(process.limiter, group, now) <= now)
        {
            send(fleet, process, release(process.lease, group, alive, now));
        }
    }
    send(fleet, process, fleet::tick(process.lease, alive, now, fleet.random));
    set_pools(fleet, process);
    peer_hints hints{.alive = alive};
    for (std::uint32_t group = 0; group < process.lease.pool_groups; ++group)
    {
        const std::string vm = known_holder(process.lease, group, now).vm;
        // A holder that stops as planned still lends, though it is not among the alive.
        const auto heard = process.last_heard.find(vm);
        const bool reachable = vm == process.id.vm || (heard != process.last_heard.end() &&
                                                       fleet.now - heard->second < suspect_after);
        hints.holders.push_back(reachable ? vm : std::string());
    }
    send(fleet, process, tick(process.limiter, hints, now, fleet.random));
    settle_waiting(fleet, process);
}

void deliver(virtual_fleet& fleet, virtual_process& process, const fleet::message& message)
{
    const core::time_point now = local_time(fleet, process);
    send(fleet, process, fleet::handle(process.lease, message.from, message.body, now));
    set_pools(fleet, process);
    send(fleet, process, handle(process.limiter, message.from, message.body, now));
    settle_waiting(fleet, process);
}

void admit(virtual_fleet& fleet, virtual_process& process, const std::string& account,
           std::uint64_t request_id)
{
    const core::time_point now = local_time(fleet, process);
    const admission outcome =
        try_admit(process.limiter, account, request_id, now + std::chrono::seconds(2), now);
    if (outcome.result == verdict::wait)
    {
        send(fleet, process, flush(process.limiter, now, fleet.random));
        return;
    }
    fleet.on_end({.account = account,
                  .request_id = request_id,
                  .admitted = outcome.result == verdict::admitted,
                  .retry_after = outcome.retry_after,
                  .at = fleet.now});
}

void carry_out(virtual_fleet& fleet, virtual_event event)
{
    virtual_process& process = fleet.processes[event.process];
    const bool stale_tick = event.incarnation != 0 && event.incarnation != process.id.incarnation;
    if (!process.running || stale_tick)
    {
        if (const auto* request = std::get_if<2>(&event.what))
        {
            fleet.on_end(
                {.account = request->first, .request_id = request->second, .at = fleet.now});
        }
        return;
    }
    if (fleet.now < process.paused_until)
    {
        event.at = process.paused_until;
        push(fleet, std::move(event));
        return;
    }
    if (const auto* message = std::get_if<fleet::message>(&event.what))
    {
        deliver(fleet, process, *message);
    }
    else if (const auto* request = std::get_if<2>(&event.what))
    {
        admit(fleet, process, request->first, request->second);
    }
    else
    {
        tick_process(fleet, process);
        event.at = fleet.now + tick_interval;
        push(fleet, std::move(event));
    }
}

} // namespace

virtual_fleet make_virtual_fleet(std::size_t size, account_limiter_options limiter_options,
                                 network_options network, const config::configuration& config,
                                 std::uint64_t seed)
{
    virtual_fleet fleet{.limiter_options = std::move(limiter_options),
                        .network = network,
                        .config = config,
                        .random = core::random_generator(seed),
                        .on_end = [](const request_end&) {
                        }};
    fleet.processes.resize(size);
    for (std::size_t i = 0; i < size; ++i)
    {
        start(fleet, i);
    }
    return fleet;
}

void arrive(virtual_fleet& fleet, std::size_t process, std::string account,
            std::uint64_t request_id, core::time_point at)
{
    push(fleet, {.at = at,
                 .process = process,
                 .what = std::pair<std::string, std::uint64_t>(std::move(account), request_id)});
}

void run_until(virtual_fleet& fleet, core::time_point until)
{
    while (!fleet.events.empty() && fleet.events.top().at <= until)
    {
        virtual_event event = fleet.events.top();
        fleet.events.pop();
        fleet.now = std::max(fleet.now, event.at);
        carry_out(fleet, std::move(event));
    }
    fleet.now = until;
}

void kill(virtual_fleet& fleet, std::size_t process)
{
    virtual_process& state = fleet.processes[process];
    for (auto& [name, account] : state.limiter.accounts)
    {
        for (const waiting_request& request : account.waiting)
        {
            fleet.on_end({.account = name, .request_id = request.request_id, .at = fleet.now});
        }
    }
    state.running = false;
}

void start(virtual_fleet& fleet, std::size_t process)
{
    virtual_process& state = fleet.processes[process];
    const std::uint64_t bytes = state.bytes_sent;
    const int side = state.side;
    state = {.id = {.vm = "vm" + std::to_string(process), .incarnation = fleet.random() | 1U},
             .running = true,
             .side = side,
             .clock_offset = std::chrono::seconds(1 + fleet.random() % 100000),
             .bytes_sent = bytes};
    const core::time_point now = local_time(fleet, state);
    state.lease = fleet::make_majority_lease(state.id, {}, now);
    state.limiter = make_account_limiter(state.id, fleet.limiter_options, now);
    fleet::apply_configuration(state.lease, fleet.config, now);
    apply_configuration(state.limiter, fleet.config, now);
    const auto phase = std::chrono::microseconds(fleet.random() % 10000);
    push(fleet, {.at = fleet.now + phase, .process = process, .incarnation = state.id.incarnation});
}

void stop(virtual_fleet& fleet, std::size_t process)
{
    virtual_process& state = fleet.processes[process];
    state.stopping = true;
    ++fleet.faults.planned_stops;
    send(fleet, state, shut_down(state.limiter, local_time(fleet, state)));
    settle_waiting(fleet, state);
}

void pause(virtual_fleet& fleet, std::size_t process, core::time_point until)
{
    fleet.processes[process].paused_until = until;
    ++fleet.faults.pauses;
}

void configure(virtual_fleet& fleet, std::size_t process, const config::configuration& config)
{
    virtual_process& state = fleet.processes[process];
    const core::time_point now = local_time(fleet, state);
    fleet::apply_configuration(state.lease, config, now);
    apply_configuration(state.limiter, config, now);
    ++fleet.faults.configurations;
    settle_waiting(fleet, state);
}

std::uint64_t wire_bytes(const fleet::message& message)
{
    const auto payload = fleet::encode(message);
    return payload ? net::frame_header_size + payload->size() : 0;
}

void record(bound_meter& meter, core::time_point at)
{
    meter.level = std::max(0.0, meter.level - meter.rate * core::to_seconds(at - meter.last)) + 1.0;
    meter.highest = std::max(meter.highest, meter.level);
    meter.last = at;
}

double excess(const bound_meter& meter)
{
    return meter.highest - meter.burst;
}

} // namespace zinniaferry::limits
