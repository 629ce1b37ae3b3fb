#include "history/faults.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace zinniaferry::history
{

namespace
{

using namespace std::chrono_literals;

using arguments = std::vector<std::string>;

std::size_t slot_of(const std::string& text)
{
    return std::stoul(text);
}

core::duration time_of(const std::string& text)
{
    return core::from_seconds(std::stod(text));
}

void after(simulation& sim, core::duration delay, std::function<void()> event)
{
    schedule(sim.queue, sim.queue.now + delay, std::move(event));
}

void start_when_free(simulation& sim, std::size_t slot, const std::string& vm)
{
    if (!sim.processes[slot].running)
    {
        start_process(sim, slot, vm);
    }
}

// A dead process is replaced by one of another VM, or started again on its own VM.
void end_and_start(simulation& sim, std::size_t slot, core::duration pause, bool same_vm)
{
    if (!sim.processes[slot].running)
    {
        return;
    }
    const std::string vm = same_vm ? sim.processes[slot].vm : std::string();
    kill_process(sim, slot);
    after(sim, pause, [&sim, slot, vm] { start_when_free(sim, slot, vm); });
}

void kill_one(simulation& sim, const arguments& args)
{
    end_and_start(sim, slot_of(args[0]), time_of(args[1]), false);
}

void restart_one(simulation& sim, const arguments& args)
{
    end_and_start(sim, slot_of(args[0]), time_of(args[1]), true);
}

void pause_one(simulation& sim, const arguments& args)
{
    if (sim.processes[slot_of(args[0])].running)
    {
        pause_process(sim, slot_of(args[0]), time_of(args[1]));
    }
}

void start_after_stop(simulation& sim, std::size_t slot, std::uint64_t incarnation)
{
    if (sim.processes[slot].running && sim.processes[slot].incarnation == incarnation)
    {
        after(sim, 100ms, [&sim, slot, incarnation] { start_after_stop(sim, slot, incarnation); });
        return;
    }
    start_when_free(sim, slot, {});
}

void stop_one(simulation& sim, const arguments& args)
{
    const std::size_t slot = slot_of(args[0]);
    const process& at = sim.processes[slot];
    if (at.running && !at.stopping)
    {
        stop_process(sim, slot);
        start_after_stop(sim, slot, at.incarnation);
    }
}

// The replacement starts first where a place is free, as a surge.
void replace_from(simulation& sim, std::size_t slot, core::duration pause)
{
    if (slot >= sim.options.vms)
    {
        return;
    }
    stop_one(sim, {std::to_string(slot)});
    after(sim, pause, [&sim, slot, pause] { replace_from(sim, slot + 1, pause); });
}

void replace_all(simulation& sim, const arguments& args)
{
    for (std::size_t slot = sim.options.vms; slot < sim.processes.size(); ++slot)
    {
        start_when_free(sim, slot, {});
    }
    replace_from(sim, 0, time_of(args[0]));
}

void cut_ways(simulation& sim, const std::function<bool(std::size_t, std::size_t)>& is_cut,
              core::duration length)
{
    std::vector<std::pair<std::size_t, std::size_t>> ways;
    for (std::size_t from = 0; from < sim.processes.size(); ++from)
    {
        for (std::size_t to = 0; to < sim.processes.size(); ++to)
        {
            if (from != to && is_cut(from, to))
            {
                ++sim.cut[from][to];
                ways.emplace_back(from, to);
            }
        }
    }
    after(sim, length,
          [&sim, ways = std::move(ways)]
          {
              for (const auto& [from, to] : ways)
              {
                  --sim.cut[from][to];
              }
          });
}

void cut_service(simulation& sim, std::size_t from, std::size_t until, core::duration length)
{
    for (std::size_t slot = from; slot < until; ++slot)
    {
        ++sim.service_cut[slot];
        after(sim, length, [&sim, slot] { --sim.service_cut[slot]; });
    }
}

void split(simulation& sim, const arguments& args)
{
    const std::size_t first = std::min(slot_of(args[0]), sim.processes.size());
    const core::duration length = time_of(args[1]);
    cut_ways(
        sim, [first](std::size_t a, std::size_t b) { return (a < first) != (b < first); }, length);
    if (args[2] == "second")
    {
        cut_service(sim, 0, first, length);
    }
    if (args[2] == "first")
    {
        cut_service(sim, first, sim.processes.size(), length);
    }
}

void cut_off(simulation& sim, const arguments& args)
{
    const std::size_t slot = slot_of(args[0]);
    cut_ways(
        sim, [slot](std::size_t a, std::size_t b) { return a == slot || b == slot; },
        time_of(args[1]));
    cut_service(sim, slot, slot + 1, time_of(args[1]));
}

void one_way(simulation& sim, const arguments& args)
{
    const std::size_t slot = slot_of(args[0]);
    const bool inward = args[1] == "in";
    cut_ways(
        sim, [=](std::size_t a, std::size_t b) { return (inward ? b : a) == slot; },
        time_of(args[2]));
    // A call to the service needs both ways.
    cut_service(sim, slot, slot + 1, time_of(args[2]));
}

void disturb_network(simulation& sim, const arguments& args)
{
    sim.network = {.loss = std::stod(args[0]),
                   .duplication = std::stod(args[1]),
                   .extra_delay = time_of(args[2])};
    after(sim, time_of(args[3]), [&sim] { sim.network = {}; });
}

void change_service(simulation& sim, service_mode mode, const std::string& length)
{
    set_service_mode(sim, mode);
    after(sim, time_of(length), [&sim] { set_service_mode(sim, service_mode::up); });
}

void service_down(simulation& sim, const arguments& args)
{
    change_service(sim, service_mode::down, args[0]);
}

void service_stale(simulation& sim, const arguments& args)
{
    change_service(sim, service_mode::stale, args[0]);
}

void service_slow(simulation& sim, const arguments& args)
{
    change_service(sim, service_mode::slow, args[0]);
}

void lag_list(simulation& sim, const arguments& args)
{
    sim.list_lag = time_of(args[0]);
    after(sim, time_of(args[1]), [&sim] { sim.list_lag = {}; });
}

// Sets a value of a server for some time.
template <class Value>
void set_for(simulation& sim, const std::string& name, Value backend::*member, Value value,
             Value usual, const std::string& length)
{
    backend& server = *sim.servers.at(name);
    server.*member = value;
    after(sim, time_of(length), [&server, member, usual] { server.*member = usual; });
}

void slow_server(simulation& sim, const arguments& args)
{
    set_for(sim, args[0], &backend::slowness, std::stod(args[1]), 1.0, args[2]);
}

void failing_server(simulation& sim, const arguments& args)
{
    set_for(sim, args[0], &backend::failing, true, false, args[1]);
}

void lying_server(simulation& sim, const arguments& args)
{
    set_for(sim, args[0], &backend::lying, true, false, args[1]);
}

void late_server(simulation& sim, const arguments& args)
{
    set_for(sim, args[0], &backend::answer_delay, time_of(args[1]), core::duration(), args[2]);
}

void restart_one_server(simulation& sim, const arguments& args)
{
    restart_server(sim, *sim.servers.at(args[0]), time_of(args[1]));
}

void cold_server(simulation& sim, const arguments& args)
{
    backend& server = *sim.servers.at(args[0]);
    sim.counters["R2.in_flight_at_unannounced_turn"] +=
        static_cast<double>(server.running.size() + server.waiting.size());
    turn_cold(server);
}

void drain_server(simulation& sim, const arguments& args)
{
    backend& server = *sim.servers.at(args[0]);
    server.draining = true;
    after(sim, time_of(args[1]),
          [&sim, &server]
          {
              if (server.up && server.draining)
              {
                  restart_server(sim, server, 500ms);
              }
          });
}

void edit_server(config::configuration& config, const std::string& name, bool leaving)
{
    for (config::service& service : config.services)
    {
        for (config::backend_server& server : service.servers)
        {
            server.leaving = server.name == name ? leaving : server.leaving;
        }
    }
}

void leave_server(simulation& sim, const arguments& args)
{
    publish(sim, [&](config::configuration& config) { edit_server(config, args[0], true); });
    after(sim, time_of(args[1]),
          [&sim, name = args[0]] {
              publish(sim,
                      [&](config::configuration& config) { edit_server(config, name, false); });
          });
}

void remove_server(simulation& sim, const arguments& args)
{
    leave_server(sim, {args[0], "10000"});
    after(sim, time_of(args[1]),
          [&sim, name = args[0]]
          {
              publish(sim,
                      [&](config::configuration& config)
                      {
                          for (config::service& service : config.services)
                          {
                              std::erase_if(service.servers,
                                            [&](const config::backend_server& server)
                                            { return server.name == name; });
                          }
                      });
          });
}

void withdraw_key(simulation& sim, const arguments& args)
{
    std::string& key = sim.keys.at(args[0]);
    sim.former_keys[args[0]].push_back(key);
    key = fmt::format("history-key-{}-{}", args[0], sim.versions.size());
    publish(sim,
            [&](config::configuration& config)
            {
                for (config::account& account : config.accounts)
                {
                    if (account.name == args[0])
                    {
                        account.keys = {core::sha256(key)};
                    }
                }
            });
}

void set_data_centre(simulation& sim, const std::string& name, bool in_service)
{
    publish(sim,
            [&](config::configuration& config)
            {
                for (config::data_centre& centre : config.data_centres)
                {
                    centre.in_service = centre.name == name ? in_service : centre.in_service;
                }
            });
}

void data_centre_out(simulation& sim, const arguments& args)
{
    set_data_centre(sim, args[0], false);
    after(sim, time_of(args[1]), [&sim, name = args[0]] { set_data_centre(sim, name, true); });
}

void greedy_account(simulation& sim, const arguments& args)
{
    sim.demand[args[0]] = std::stod(args[1]);
    after(sim, time_of(args[2]), [&sim, name = args[0]] { sim.demand[name] = 1.0; });
}

void change_limits(simulation& sim, const arguments& args)
{
    publish(sim,
            [&](config::configuration& config)
            {
                for (config::account& account : config.accounts)
                {
                    if (account.name == args[0])
                    {
                        account.rate *= std::stod(args[1]);
                        account.burst = std::max(1.0, account.burst * std::stod(args[1]));
                    }
                }
            });
}

void change_seats(simulation& sim, const arguments& args)
{
    publish(sim,
            [&](config::configuration& config)
            {
                for (config::account& account : config.accounts)
                {
                    if (account.name == args[0])
                    {
                        account.seat_fraction = std::stod(args[1]);
                    }
                }
            });
}

void send_order(simulation& sim, const arguments& args)
{
    const std::size_t slot = slot_of(args[2]);
    const std::vector<config::route>& routes = sim.versions.back().configuration.routes;
    const auto route = std::find_if(routes.begin(), routes.end(),
                                    [](const config::route& entry) { return !entry.idempotent; });
    if (sim.processes[slot].running && route != routes.end())
    {
        start_call(sim, slot,
                   {.path = route->prefix,
                    .account = args[0],
                    .key = sim.keys.at(args[0]),
                    .idempotency_key = args[1],
                    .idempotent = false});
    }
}

} // namespace

std::span<const fault_kind> fault_kinds()
{
    using enum argument_kind;
    static const std::vector<fault_kind> kinds = {
        {"kill", {vm, seconds}, kill_one, 3},
        {"restart", {vm, seconds}, restart_one, 2},
        {"pause", {vm, seconds}, pause_one, 3},
        {"stop", {vm}, stop_one, 2},
        {"replace_all", {seconds}, replace_all, 1},
        {"split", {count, seconds, reach}, split, 2},
        {"cut_off", {vm, seconds}, cut_off, 2},
        {"one_way", {vm, side, seconds}, one_way, 2},
        {"network", {part, part, seconds, seconds}, disturb_network, 2},
        {"service_down", {seconds}, service_down, 2},
        {"service_stale", {seconds}, service_stale, 2},
        {"service_slow", {seconds}, service_slow, 1},
        {"vm_list_lag", {seconds, seconds}, lag_list, 1},
        {"slow_server", {server, factor, seconds}, slow_server, 2},
        {"failing_server", {server, seconds}, failing_server, 2},
        {"restart_server", {server, seconds}, restart_one_server, 2},
        {"cold_server", {server}, cold_server, 5},
        {"drain_server", {server, seconds}, drain_server, 1},
        {"leave_server", {server, seconds}, leave_server, 1},
        {"remove_server", {server, seconds}, remove_server, 1},
        {"lying_server", {server, seconds}, lying_server, 1},
        {"late_server", {server, seconds, seconds}, late_server, 1},
        {"withdraw_key", {account}, withdraw_key, 2},
        {"data_centre_out", {data_centre, seconds}, data_centre_out, 2},
        {"greedy_account", {account, factor, seconds}, greedy_account, 3},
        {"change_limits", {account, factor}, change_limits, 2},
        {"change_seats", {account, part}, change_seats, 1},
        {"order", {account, word, vm}, send_order, 0},
    };
    return kinds;
}

const fault_kind* find_fault_kind(std::string_view name)
{
    const auto kinds = fault_kinds();
    const auto found = std::find_if(kinds.begin(), kinds.end(),
                                    [&](const fault_kind& kind) { return kind.name == name; });
    return found == kinds.end() ? nullptr : &*found;
}

void apply_fault(simulation& sim, const fault& event)
{
    ++sim.counters["fault." + event.kind];
    find_fault_kind(event.kind)->apply(sim, event.arguments);
}

std::string to_line(const fault& event)
{
    std::string out = fmt::format("at {:.3f} {}", core::to_seconds(event.at), event.kind);
    for (const std::string& argument : event.arguments)
    {
        out += " " + argument;
    }
    return out;
}

} // namespace zinniaferry::history
