#include "history/traffic.hpp"

#include <spdlog/fmt/fmt.h>

#include <cmath>

namespace zinniaferry::history
{

namespace
{

using namespace std::chrono_literals;

// Parts of the calls, which make each rule occur often enough in a run.
constexpr double order_part = 0.2;
constexpr double keyed_order_part = 0.85;    ///< Of the orders, with an idempotency key.
constexpr double labelled_part = 0.5;        ///< Of those, with the time of their first sending.
constexpr double doubled_part = 0.15;        ///< Of those, sent through a second VM at once.
constexpr double wrong_key_part = 0.01;      ///< Of all calls.
constexpr double former_key_part = 0.3;      ///< Of the calls of an account that changed its key.
constexpr double hang_up_part = 0.01;        ///< Of all calls.
constexpr double sticky_part = 0.3;          ///< Of the calls, to the VM of the call before.
constexpr std::uint32_t order_repeats = 2;   ///< After an unknown outcome.
constexpr double open_calls_a_second = 15.0; ///< On the open routes.

struct caller
{
    std::string account; ///< Empty for the open routes.
    double rate = 0.0;   ///< Calls a second.
    std::size_t last_slot = 0;
    std::uint64_t sent = 0;
};

std::vector<const config::route*> routes_for(const config::configuration& config, bool open,
                                             bool order)
{
    std::vector<const config::route*> out;
    for (const config::route& route : config.routes)
    {
        if (route.open == open && (open || route.idempotent != order))
        {
            out.push_back(&route);
        }
    }
    return out;
}

std::string choose_key(simulation& sim, const std::string& account)
{
    core::random_generator& random = sim.traffic_random;
    const auto former = sim.former_keys.find(account);
    if (core::uniform(random) < wrong_key_part)
    {
        return "a-key-that-no-account-has";
    }
    if (former != sim.former_keys.end() && core::uniform(random) < former_key_part)
    {
        return former->second[core::uniform_index(random, former->second.size())];
    }
    return sim.keys.at(account);
}

call make_call(simulation& sim, caller& from)
{
    core::random_generator& random = sim.traffic_random;
    const config::configuration& config = sim.versions.back().configuration;
    const bool open = from.account.empty();
    const bool order = !open && core::uniform(random) < order_part;
    const auto routes = routes_for(config, open, order);
    call out;
    out.path = routes[core::uniform_index(random, routes.size())]->prefix;
    out.account = from.account;
    out.key = open ? std::string() : choose_key(sim, from.account);
    out.idempotent = !order;
    out.first_sent = sim.queue.now;
    ++from.sent;
    if (order && core::uniform(random) < keyed_order_part)
    {
        out.idempotency_key = fmt::format("order-{}", from.sent);
        out.labelled = core::uniform(random) < labelled_part;
        out.repeats_left = order_repeats;
    }
    return out;
}

void send_one(simulation& sim, caller& from)
{
    core::random_generator& random = sim.traffic_random;
    const std::size_t chosen = choose_process(sim, random);
    if (chosen == sim.processes.size())
    {
        return;
    }
    const bool sticky =
        core::uniform(random) < sticky_part && sim.processes[from.last_slot].taking_calls;
    const std::size_t slot = sticky ? from.last_slot : chosen;
    from.last_slot = slot;
    const call made = make_call(sim, from);
    const std::uint64_t number = start_call(sim, slot, made);
    if (!made.idempotency_key.empty() && core::uniform(random) < doubled_part)
    {
        const std::size_t other = choose_process(sim, random);
        ++sim.counters["orders.doubled"];
        start_call(sim, other, made);
    }
    if (core::uniform(random) < hang_up_part)
    {
        ++sim.counters["calls.hung_up"];
        schedule(sim.queue, sim.queue.now + core::from_seconds(0.05 * core::uniform(random)),
                 [&sim, number] { hang_up(sim, number); });
    }
}

void keep_sending(simulation& sim, const std::shared_ptr<caller>& from, core::time_point until)
{
    const auto factor = sim.demand.find(from->account);
    const double rate = from->rate * (factor == sim.demand.end() ? 1.0 : factor->second);
    const double wait = -std::log(1.0 - core::uniform(sim.traffic_random)) / rate;
    const core::time_point next = sim.queue.now + core::from_seconds(wait);
    if (next > until)
    {
        return;
    }
    schedule(sim.queue, next,
             [&sim, from, until]
             {
                 send_one(sim, *from);
                 keep_sending(sim, from, until);
             });
}

} // namespace

void start_traffic(simulation& sim, const traffic_options& options)
{
    for (const config::account& account : sim.versions.back().configuration.accounts)
    {
        keep_sending(sim,
                     std::make_shared<caller>(caller{.account = account.name,
                                                     .rate = account.rate * options.part_of_rate}),
                     options.until);
    }
    keep_sending(sim, std::make_shared<caller>(caller{.rate = open_calls_a_second}), options.until);
}

} // namespace zinniaferry::history
