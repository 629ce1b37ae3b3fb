#include "model/requests.hpp"

#include "model/backend_servers.hpp"
#include "model/hub_links.hpp"
#include "request/hedging.hpp"
#include "request/progress.hpp"
#include "request/refusal.hpp"
#include "routing/candidates.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

using request::progress_event;
using request::refusal_reason;

constexpr core::duration selection_interval = std::chrono::milliseconds(30);
constexpr double selection_objective_fraction = 0.1;
constexpr std::size_t probed_candidates = 2;
/// Servers that may run a request with the injection ignore_attempts.
constexpr std::uint32_t unlimited_runs = 100;
constexpr unsigned success_status = 200;
/// How long the injection forget_route lasts after each change of the configuration.
constexpr core::duration forgotten_time = std::chrono::milliseconds(300);

/// A request in progress at a daemon.
struct request_flow
{
    std::uint64_t request = 0;
    std::size_t daemon = 0;
    core::time_point arrived_at;
    core::time_point deadline;
    std::shared_ptr<const config::configuration_index> configuration;
    const config::route* route = nullptr;
    std::string account;
    std::string service;
    request::progress progress;
    std::vector<routing::backend_pointer> tried;
    std::uint32_t open_attempts = 0;
    core::time_point last_sent_at;
    bool ended = false;
};

using flow_pointer = std::shared_ptr<request_flow>;

void continue_request(world& world, const flow_pointer& flow);

process& process_of(world& world, const flow_pointer& flow)
{
    return *world.daemons[flow->daemon].running;
}

void respond(world& world, const flow_pointer& flow, unsigned status)
{
    flow->ended = true;
    const core::time_point at = world.queue.now + outer_delay;
    schedule(world.queue, at,
             [&world, at, request = flow->request, status]
             {
                 world.history.requests[request].answered_at = at;
                 world.history.requests[request].status = status;
             });
}

void refuse(world& world, const flow_pointer& flow, refusal_reason reason)
{
    respond(world, flow, request::http_status(reason));
}

const config::account* find_account(const world& world, const process& process,
                                    const std::string& key)
{
    const auto* account = config::find_account_by_key(*process.gateway->configuration, key);
    if (account == nullptr && world.injected == injection::keep_withdrawn_keys &&
        process.previous_configuration)
    {
        account = config::find_account_by_key(*process.previous_configuration, key);
    }
    return account;
}

bool is_forgotten(const world& world, const process& process, const config::route* route)
{
    return world.injected == injection::forget_route &&
           route == &process.gateway->configuration->config->routes.front() &&
           world.queue.now < process.configuration_applied_at + forgotten_time;
}

std::optional<refusal_reason> resolve(world& world, const flow_pointer& flow)
{
    const process& process = process_of(world, flow);
    const request_record& record = world.history.requests[flow->request];
    if (!process.gateway->configuration)
    {
        return refusal_reason::no_configuration;
    }
    const config::route* route =
        config::find_route(*process.gateway->configuration, "", record.path);
    if (is_forgotten(world, process, route))
    {
        route = nullptr;
    }
    if (route == nullptr)
    {
        return net::refuse_unknown(*process.gateway, refusal_reason::unknown_route, world.queue.now)
            .reason;
    }
    const config::account* account = find_account(world, process, record.key);
    if (account == nullptr)
    {
        return net::refuse_unknown(*process.gateway, refusal_reason::unknown_key, world.queue.now)
            .reason;
    }
    flow->configuration = process.gateway->configuration;
    flow->route = route;
    flow->account = account->name;
    return std::nullopt;
}

void give_up(world& world, const flow_pointer& flow)
{
    const bool not_run = request::has_certainly_not_run(flow->progress);
    request::apply(flow->progress, progress_event::give_up);
    if (not_run)
    {
        limits::refund(process_of(world, flow).gateway->accounts, flow->account, world.queue.now);
    }
    const auto unknown =
        world.queue.now >= flow->deadline ? refusal_reason::deadline : refusal_reason::server_lost;
    const bool promised = not_run || world.injected == injection::promise_not_run;
    refuse(world, flow, promised ? refusal_reason::no_server : unknown);
}

void settle(world& world, const flow_pointer& flow, const routing::backend_pointer& server,
            exchange_end end)
{
    routing::backend_set& backends = process_of(world, flow).gateway->backends;
    --flow->open_attempts;
    if (flow->ended)
    {
        routing::on_released(*server);
        return;
    }
    switch (end)
    {
    case exchange_end::answered:
        routing::on_response(backends, *server, world.queue.now - flow->last_sent_at,
                             core::duration(), world.queue.now);
        request::apply(flow->progress, progress_event::answer);
        respond(world, flow, success_status);
        return;
    case exchange_end::not_run:
        routing::on_released(*server);
        request::apply(flow->progress, progress_event::server_refused);
        break;
    case exchange_end::lost:
    case exchange_end::unreachable:
        // The request had been sent on an open connection, so the daemon cannot know that the
        // server did not run it.
        routing::on_failed(*server, routing::failure_kind::broken, world.queue.now);
        request::apply(flow->progress, progress_event::attempt_lost);
        break;
    }
    continue_request(world, flow);
}

void hedge_later(world& world, const flow_pointer& flow)
{
    const core::time_point at = request::hedge_time({.arrived_at = flow->arrived_at,
                                                     .sent_at = flow->last_sent_at,
                                                     .objective = flow->route->objective,
                                                     .one_way_delay = outer_delay});
    run_after(world, flow->daemon, at - world.queue.now,
              [&world, flow]
              {
                  if (!flow->ended && flow->open_attempts == 1)
                  {
                      continue_request(world, flow);
                  }
              });
}

void start_attempt(world& world, const flow_pointer& flow, const routing::backend_pointer& server)
{
    routing::on_sent(*server);
    request::apply(flow->progress, progress_event::bytes_left);
    flow->tried.push_back(server);
    ++flow->open_attempts;
    flow->last_sent_at = world.queue.now;
    const forwarded_request message = {.request = flow->request,
                                       .daemon = flow->daemon,
                                       .server = server->listed.id,
                                       .account = flow->account,
                                       .sent_at = world.queue.now};
    const std::uint64_t number = process_of(world, flow).number;
    const auto on_end = [&world, flow, server, number](exchange_end end)
    {
        const auto& running = world.daemons[flow->daemon].running;
        if (running && running->number == number)
        {
            run_at(world, flow->daemon, world.queue.now + outer_delay,
                   [&world, flow, server, end] { settle(world, flow, server, end); });
        }
    };
    schedule(world.queue, world.queue.now + outer_delay,
             [&world, message, on_end] { serve(world, message, on_end); });
    hedge_later(world, flow);
}

// Sends the request to the server that was selected, unless the budget is spent or a newer
// configuration refuses the request.
void send_to(world& world, const flow_pointer& flow, const routing::backend_pointer& server)
{
    process& process = process_of(world, flow);
    const bool is_first = flow->tried.empty();
    if (!is_first && !limits::take_retry(process.gateway->retry_budget, flow->service))
    {
        continue_request(world, flow);
        return;
    }
    if (is_first && flow->configuration != process.gateway->configuration)
    {
        if (const auto reason = resolve(world, flow))
        {
            limits::refund(process.gateway->accounts, flow->account, world.queue.now);
            refuse(world, flow, *reason);
            return;
        }
    }
    start_attempt(world, flow, server);
}

/// A server that was selected for a request.
struct candidate
{
    routing::backend_pointer server;
    bool selected_cold = false; ///< It was cold when it was selected.
};

// Applies the responses to the load probes of the candidates, and returns the best one or null.
routing::backend_pointer best_of(world& world, const flow_pointer& flow,
                                 const std::vector<candidate>& candidates)
{
    const core::time_point now = world.queue.now;
    routing::backend_set& backends = process_of(world, flow).gateway->backends;
    routing::backend_pointer best;
    for (const auto& [server, selected_cold] : candidates)
    {
        const auto load = load_of(world, server->listed.id);
        if (!load)
        {
            routing::on_sent(*server);
            routing::on_failed(*server, routing::failure_kind::unreachable, now);
            continue;
        }
        routing::on_load_reading(*server, *load, warmup_left(world, server->listed.id));
        const bool usable = routing::is_eligible(backends, *server, now) &&
                            routing::has_capacity(backends, *server, routing::queueing::in_time,
                                                  flow->route->objective, now);
        const bool is_best = !best || routing::expected_cost(backends, *server, now) <
                                          routing::expected_cost(backends, *best, now);
        if (usable && is_best &&
            (world.injected == injection::ignore_warmup ||
             routing::admit_candidate(backends, *server, selected_cold, now)))
        {
            best = server;
        }
    }
    return best;
}

void wait_for_server(world& world, const flow_pointer& flow)
{
    const core::duration limit =
        core::from_seconds(core::to_seconds(flow->route->objective) * selection_objective_fraction);
    if (flow->open_attempts == 0 && world.queue.now >= flow->arrived_at + limit)
    {
        give_up(world, flow);
        return;
    }
    run_after(world, flow->daemon, selection_interval,
              [&world, flow] { continue_request(world, flow); });
}

void forget_warmup(routing::backend_set& backends, core::time_point now)
{
    for (const auto& [id, server] : backends.by_id)
    {
        server->cold_until = std::min(server->cold_until, now);
    }
}

void select_server(world& world, const flow_pointer& flow)
{
    net::gateway& gateway = *process_of(world, flow).gateway;
    if (world.injected == injection::ignore_warmup)
    {
        forget_warmup(gateway.backends, world.queue.now);
    }
    std::vector<candidate> candidates;
    for (const auto& server :
         routing::select_candidates(gateway.backends, flow->service, flow->tried, probed_candidates,
                                    world.queue.now, gateway.random))
    {
        candidates.push_back({server, server->state == routing::backend_state::cold});
    }
    if (candidates.empty())
    {
        wait_for_server(world, flow);
        return;
    }
    run_at(world, flow->daemon, world.queue.now + 2 * outer_delay,
           [&world, flow, candidates]
           {
               const routing::backend_pointer best = best_of(world, flow, candidates);
               if (flow->ended)
               {
                   return;
               }
               if (best)
               {
                   send_to(world, flow, best);
                   return;
               }
               request::record_failed_connect(flow->progress);
               wait_for_server(world, flow);
           });
}

void continue_request(world& world, const flow_pointer& flow)
{
    if (flow->ended)
    {
        return;
    }
    const auto& budget = process_of(world, flow).gateway->retry_budget;
    const bool may_send = request::may_send(flow->progress) && world.queue.now < flow->deadline &&
                          (flow->tried.empty() || limits::has_retry(budget, flow->service));
    if (may_send)
    {
        select_server(world, flow);
    }
    else if (flow->open_attempts == 0)
    {
        give_up(world, flow);
    }
}

std::string choose_service(world& world, const flow_pointer& flow)
{
    const auto& routes = flow->configuration->config->routes;
    const bool wrong = world.injected == injection::wrong_service && flow->route == &routes.front();
    const double fraction = core::uniform(process_of(world, flow).gateway->random);
    return config::select_service(wrong ? routes[1] : *flow->route, fraction);
}

void forward(world& world, const flow_pointer& flow)
{
    net::gateway& gateway = *process_of(world, flow).gateway;
    flow->service = choose_service(world, flow);
    flow->progress = {
        .idempotent = flow->route->idempotent || world.injected == injection::retry_unsafe,
        .max_runs =
            world.injected == injection::ignore_attempts ? unlimited_runs : flow->route->attempts};
    limits::on_first_attempt(gateway.retry_budget, flow->service);
    run_after(world, flow->daemon, flow->deadline - world.queue.now,
              [&world, flow]
              {
                  if (!flow->ended)
                  {
                      give_up(world, flow);
                  }
              });
    continue_request(world, flow);
}

void on_grant(world& world, const flow_pointer& flow, std::optional<limits::grant> granted)
{
    limits::account_pools& accounts = process_of(world, flow).gateway->accounts;
    const limits::grant taken =
        granted ? *granted : limits::take_standalone(accounts, flow->account, world.queue.now);
    if (granted && granted->requests > 0)
    {
        const std::uint32_t spent_twice =
            world.injected == injection::spend_grants_twice ? granted->requests : 0;
        limits::add_granted(accounts, flow->account, granted->requests - 1 + spent_twice,
                            world.queue.now, world.queue.now);
    }
    if (taken.requests == 0)
    {
        refuse(world, flow, refusal_reason::over_limit);
        return;
    }
    forward(world, flow);
}

void acquire_grant(world& world, const flow_pointer& flow)
{
    limits::account_pools& accounts = process_of(world, flow).gateway->accounts;
    if (!limits::is_limited(accounts, flow->account) ||
        limits::take_granted(accounts, flow->account, world.queue.now))
    {
        forward(world, flow);
        return;
    }
    request_grant(world, flow->daemon, flow->account,
                  [&world, flow](std::optional<limits::grant> granted)
                  { on_grant(world, flow, granted); });
}

} // namespace

void handle_request(world& world, std::uint64_t request)
{
    request_record& record = world.history.requests[request];
    const auto flow = std::make_shared<request_flow>(
        request_flow{.request = request, .daemon = record.daemon, .arrived_at = world.queue.now});
    record.process = process_of(world, flow).number;
    if (const auto reason = resolve(world, flow))
    {
        refuse(world, flow, *reason);
        return;
    }
    flow->deadline = world.queue.now + flow->route->timeout;
    acquire_grant(world, flow);
}

} // namespace zinniaferry::model
