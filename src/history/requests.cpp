// The way of a request in the simulation: caller, process, backend server and back.
#include "history/observer.hpp"
#include "history/simulation.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace zinniaferry::history
{

namespace
{

using namespace std::chrono_literals;

constexpr core::duration connect_time = 1ms;
constexpr core::duration longest_server_delay = 1500us; ///< One way.
constexpr core::duration probe_time = 6ms;
constexpr core::duration probe_timeout = 12ms;

core::duration draw_delay(simulation& sim)
{
    return 200us +
           core::from_seconds(core::to_seconds(longest_server_delay) * core::uniform(sim.random));
}

core::time_point global_time(const process& at, core::time_point local)
{
    return local - at.clock_offset;
}

void end_attempt(simulation& sim, const attempt_pointer& order, const node::attempt_result& result)
{
    if (!order->open)
    {
        return;
    }
    order->open = false;
    process& at = sim.processes[order->slot];
    server_evidence& evidence = at.evidence[order->server];
    const core::time_point now = local_time(sim, at);
    if (result.end == node::attempt_end::answered)
    {
        ++evidence.idle;
    }
    else if (result.end != node::attempt_end::connect_failed && evidence.connections > 0)
    {
        --evidence.connections;
        node::connection_closed(*at.node, order->server);
        if (evidence.connections == 0)
        {
            evidence.present = false;
        }
    }
    order->cancelled =
        result.end == node::attempt_end::timed_out || result.end == node::attempt_end::caller_gone;
    note_attempt_end(*sim.watcher, sim, *order, result);
    carry_out(sim, order->slot, node::attempt_ended(*at.node, order->call, result, now));
}

void end_attempt_later(simulation& sim, const attempt_pointer& order, core::time_point at,
                       node::attempt_result result)
{
    schedule(sim.queue, at,
             [&sim, order, result = std::move(result)]
             {
                 at_process(sim, order->slot, order->incarnation,
                            [&sim, order, result] { end_attempt(sim, order, result); });
             });
}

backend_context context_of(simulation& sim)
{
    return {.queue = sim.queue,
            .random = sim.random,
            .on_execute = [&sim](const attempt& order)
            { note_execution(*sim.watcher, sim, order); },
            .answer =
                [&sim](const attempt_pointer& order, const server_answer& answer)
            {
                const core::duration late = sim.servers.at(order->server)->answer_delay;
                end_attempt_later(sim, order, sim.queue.now + draw_delay(sim) + late,
                                  {.end = node::attempt_end::answered,
                                   .status = answer.status,
                                   .server_did_not_run = answer.did_not_run,
                                   .load_report = answer.load_report,
                                   .fresh_connection = order->fresh_connection});
            }};
}

void reach_server(simulation& sim, const attempt_pointer& order)
{
    backend& server = *sim.servers.at(order->server);
    if (!server.up || server.run != order->server_run)
    {
        end_attempt_later(sim, order, sim.queue.now + draw_delay(sim),
                          {.end = node::attempt_end::lost});
        return;
    }
    if (order->cancelled)
    {
        return;
    }
    order->server_deadline += sim.queue.now - core::time_point();
    arrive(server, context_of(sim), order);
    note_arrival(*sim.watcher, sim, *order, server);
}

// Sends an order that was lost to another server, as the deliberate fault.
void retry_blindly(simulation& sim, const attempt_pointer& order)
{
    for (const auto& [name, server] : sim.servers)
    {
        const std::string service = name.substr(0, name.rfind('-'));
        if (name != order->server && order->server.starts_with(service) && server->up)
        {
            auto again = std::make_shared<attempt>(*order);
            again->server = name;
            again->open = false;
            again->server_deadline = sim.queue.now + 1s;
            arrive(*server, context_of(sim), again);
            return;
        }
    }
}

void send_bytes(simulation& sim, const attempt_pointer& order)
{
    process& at = sim.processes[order->slot];
    if (!order->open)
    {
        return;
    }
    if (sim.queue.now >= order->deadline)
    {
        end_attempt(sim, order, {.end = node::attempt_end::timed_out});
        return;
    }
    if (!node::bytes_leaving(*at.node, order->call, local_time(sim, at)))
    {
        end_attempt(sim, order, {.end = node::attempt_end::not_sent});
        return;
    }
    order->left = true;
    note_bytes_leaving(*sim.watcher, sim, *order);
    order->server_deadline = core::time_point(order->deadline - sim.queue.now);
    schedule(sim.queue, sim.queue.now + draw_delay(sim),
             [&sim, order] { reach_server(sim, order); });
}

void connect(simulation& sim, const attempt_pointer& order)
{
    process& at = sim.processes[order->slot];
    const backend& server = *sim.servers.at(order->server);
    if (!order->open)
    {
        return;
    }
    if (!server.up)
    {
        end_attempt(sim, order, {.end = node::attempt_end::connect_failed});
        return;
    }
    order->server_run = server.run;
    at.evidence[order->server].server_run = server.run;
    ++at.evidence[order->server].connections;
    node::connection_opened(*at.node, order->server);
    send_bytes(sim, order);
}

void close_connections(simulation& sim, const backend& server)
{
    for (std::size_t slot = 0; slot < sim.processes.size(); ++slot)
    {
        schedule(sim.queue, sim.queue.now + draw_delay(sim),
                 [&sim, slot, name = server.name, incarnation = sim.processes[slot].incarnation]
                 {
                     at_process(sim, slot, incarnation,
                                [&sim, slot, name]
                                {
                                    process& at = sim.processes[slot];
                                    server_evidence& evidence = at.evidence[name];
                                    while (evidence.idle > 0 && evidence.connections > 0)
                                    {
                                        --evidence.idle;
                                        --evidence.connections;
                                        node::connection_closed(*at.node, name);
                                    }
                                    evidence.present &= evidence.connections > 0;
                                });
                 });
    }
}

} // namespace

std::uint64_t start_call(simulation& sim, std::size_t slot, call request)
{
    const std::uint64_t number = sim.calls.size();
    process& target = sim.processes[slot];
    request.slot = slot;
    request.incarnation = target.incarnation;
    sim.calls.push_back(std::move(request));
    target.open_calls.insert(number);
    at_process(sim, slot, target.incarnation,
               [&sim, slot, number]
               {
                   process& at = sim.processes[slot];
                   const call request_copy = sim.calls[number];
                   node::request_description described{.path = request_copy.path,
                                                       .presented_key = request_copy.key,
                                                       .idempotency_key =
                                                           request_copy.idempotency_key};
                   if (request_copy.labelled)
                   {
                       described.first_sent = wall_time(request_copy.first_sent);
                   }
                   carry_out(sim, slot,
                             node::start_request(*at.node, number, described, local_time(sim, at)));
               });
    return number;
}

void hang_up(simulation& sim, std::uint64_t number)
{
    const call& request = sim.calls[number];
    at_process(sim, request.slot, request.incarnation,
               [&sim, number]
               {
                   const call& ended = sim.calls[number];
                   process& at = sim.processes[ended.slot];
                   if (ended.open)
                   {
                       carry_out(sim, ended.slot,
                                 node::caller_gone(*at.node, number, local_time(sim, at)));
                   }
                   if (const attempt_pointer current = sim.calls[number].current)
                   {
                       end_attempt(sim, current, {.end = node::attempt_end::caller_gone});
                   }
               });
}

void start_attempt(simulation& sim, std::size_t slot, const node::dispatch& order)
{
    process& at = sim.processes[slot];
    auto made = std::make_shared<attempt>(attempt{.call = order.request,
                                                  .slot = slot,
                                                  .incarnation = at.incarnation,
                                                  .server = order.server,
                                                  .account = order.account,
                                                  .deadline = global_time(at, order.deadline)});
    sim.calls[order.request].current = made;
    note_dispatch(*sim.watcher, sim, *made);
    server_evidence& evidence = at.evidence[order.server];
    if (evidence.idle > 0)
    {
        --evidence.idle;
        made->server_run = evidence.server_run;
        schedule(sim.queue, sim.queue.now,
                 [&sim, made] {
                     at_process(sim, made->slot, made->incarnation,
                                [&sim, made] { send_bytes(sim, made); });
                 });
    }
    else
    {
        made->fresh_connection = true;
        schedule(sim.queue, sim.queue.now + connect_time,
                 [&sim, made] {
                     at_process(sim, made->slot, made->incarnation,
                                [&sim, made] { connect(sim, made); });
                 });
    }
    end_attempt_later(sim, made, made->deadline, {.end = node::attempt_end::timed_out});
}

void start_probe(simulation& sim, std::size_t slot, const node::send_probe& order)
{
    backend& server = *sim.servers.at(order.server);
    const std::uint64_t incarnation = sim.processes[slot].incarnation;
    const bool answers = server.up && server.slowness <= 2.0;
    const core::duration took = answers ? probe_time : probe_timeout;
    note_probe(*sim.watcher, sim, server, server.up ? took : core::duration());
    schedule(sim.queue, sim.queue.now + took,
             [&sim, slot, incarnation, took, answers, &server]
             {
                 const std::string report = answers && server.up ? load_report(server) : "";
                 at_process(sim, slot, incarnation,
                            [&sim, slot, took, report, &server]
                            {
                                process& at = sim.processes[slot];
                                note_report(*sim.watcher, sim, slot, server.name, report);
                                carry_out(sim, slot,
                                          node::probe_ended(*at.node, server.name, report, took,
                                                            local_time(sim, at)));
                            });
             });
}

void end_call(simulation& sim, std::size_t slot, std::uint64_t number, const node::refusal* refusal)
{
    sim.processes[slot].open_calls.erase(number);
    note_call_end(*sim.watcher, sim, number, refusal);
    call& ended = sim.calls[number];
    ended.open = false;
    ended.current.reset();
    const bool again =
        refusal != nullptr && refusal->ran == node::run_state::unknown && ended.repeats_left > 0;
    if (!again)
    {
        return;
    }
    --ended.repeats_left;
    schedule(sim.queue, sim.queue.now + 100ms,
             [&sim, repeated = ended]
             {
                 const std::size_t other = choose_process(sim, sim.traffic_random);
                 if (other < sim.processes.size())
                 {
                     ++sim.counters["orders.repeated"];
                     start_call(sim, other,
                                {.path = repeated.path,
                                 .account = repeated.account,
                                 .key = repeated.key,
                                 .idempotency_key = repeated.idempotency_key,
                                 .idempotent = false,
                                 .labelled = repeated.labelled,
                                 .first_sent = repeated.first_sent,
                                 .repeats_left = repeated.repeats_left});
                 }
             });
}

void restart_server(simulation& sim, backend& server, core::duration down_time)
{
    for (const attempt_pointer& order : go_down(server))
    {
        end_attempt_later(sim, order, sim.queue.now + draw_delay(sim),
                          {.end = node::attempt_end::lost});
        if (sim.options.inject == injection::blind_retry && !sim.calls[order->call].idempotent)
        {
            retry_blindly(sim, order);
        }
    }
    close_connections(sim, server);
    schedule(sim.queue, sim.queue.now + down_time,
             [&server]
             {
                 server.up = true;
                 server.draining = false;
                 turn_cold(server);
             });
}

} // namespace zinniaferry::history
