#include "load/load_run.hpp"

#include "core/time.hpp"
#include "net/await_error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstdio>
#include <exception>

namespace zinniaferry::load
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

using net::tuple_awaitable;
constexpr auto progress_interval = std::chrono::seconds(1);
constexpr auto stop_poll_interval = std::chrono::milliseconds(100);

clock::time_point to_time_point(const run_state& state, seconds offset)
{
    return state.start_time + std::chrono::duration_cast<clock::duration>(offset);
}

// A request that is due to be sent; a repeat has the same idempotency key as the first one.
struct planned_request
{
    const account_load* account = nullptr;
    const route_load* route = nullptr;
    std::size_t target = 0;
    seconds send_offset{0.0};
    std::string idempotency_key;
    std::int64_t first_sent_ms = 0; ///< Unix time.
    bool repeat = false;
};

client_request make_client_request(const planned_request& planned, const std::string& id)
{
    const route_load& route = *planned.route;
    client_request request{.target = planned.target,
                           .method = route.method,
                           .path_and_query = route.path + "?id=" + id,
                           .body = std::string(route.body_bytes, 'x'),
                           .timeout = route.timeout};
    if (!route.anonymous && !planned.account->account_key.empty())
    {
        request.headers.emplace_back("X-Zinnia-Key", planned.account->account_key);
    }
    if (route.deadline)
    {
        request.headers.emplace_back("X-Zinnia-Deadline-Ms",
                                     fmt::format("{:.0f}", route.deadline->count()));
    }
    if (!planned.idempotency_key.empty())
    {
        request.headers.emplace_back("Idempotency-Key", planned.idempotency_key);
        request.headers.emplace_back("Idempotency-First-Sent",
                                     std::to_string(planned.first_sent_ms));
    }
    return request;
}

void record_result(run_state& state, const request_record& entry)
{
    count_request(state.report, entry);
    if (state.record_file.is_open())
    {
        state.record_file << to_json_line(entry) << '\n';
    }
}

asio::awaitable<outcome> send_and_record(run_state& state, planned_request planned)
{
    request_record entry{.id = fmt::format("{}-{}", state.options.id_prefix, state.next_id++),
                         .idempotency_key = planned.idempotency_key,
                         .route = planned.route->name,
                         .account = planned.account->name,
                         .target = std::to_string(planned.target),
                         .daemon = target_address(*state.pool, planned.target),
                         .idempotent = planned.route->idempotent,
                         .repeat = planned.repeat,
                         .send_offset = planned.send_offset};
    if (state.in_flight >= state.options.max_in_flight)
    {
        entry.outcome = outcome::not_run;
        entry.verdict = verdict::limited;
        record_result(state, entry);
        co_return entry.outcome;
    }
    ++state.in_flight;
    client_request request = make_client_request(planned, entry.id);
    entry.sent = core::unix_time_now();
    const request_result result = co_await send_once(state.pool, std::move(request));
    entry.ended = core::unix_time_now();
    --state.in_flight;
    entry.server = result.server;
    entry.status = result.status;
    entry.outcome = result.outcome;
    entry.verdict = result.verdict;
    entry.latency = clock::now() - to_time_point(state, planned.send_offset);
    record_result(state, entry);
    co_return entry.outcome;
}

seconds elapsed(const run_state& state)
{
    return clock::now() - state.start_time;
}

// Starts a coroutine and counts it as active until it ends, so that the run waits for it.
void spawn(run_state& state, const asio::any_io_executor& executor, asio::awaitable<void> task)
{
    ++state.active_tasks;
    asio::co_spawn(executor, std::move(task),
                   [&state](const std::exception_ptr& error)
                   {
                       --state.active_tasks;
                       if (error)
                       {
                           std::rethrow_exception(error);
                       }
                   });
}

asio::awaitable<void> send_repeat(run_state& state, planned_request planned)
{
    planned.target = (planned.target + 1) % state.target_count;
    planned.repeat = true;
    co_await send_and_record(state, std::move(planned));
}

// Sends one request. If it has an idempotency key, it may be repeated through the next target,
// either at once or after the first request was not answered.
asio::awaitable<void> send_with_repeat(run_state& state, planned_request planned)
{
    const bool repeat = !planned.idempotency_key.empty() &&
                        core::uniform(state.random) < state.options.repeat_ratio;
    const bool at_once = repeat && core::uniform(state.random) < 0.5;
    if (at_once)
    {
        const auto executor = co_await asio::this_coro::executor;
        spawn(state, executor, send_repeat(state, planned));
    }
    const outcome result = co_await send_and_record(state, planned);
    if (repeat && !at_once && result != outcome::answered)
    {
        planned.send_offset = elapsed(state);
        co_await send_repeat(state, std::move(planned));
    }
}

planned_request plan_request(run_state& state, std::size_t account_index, const arrival& due)
{
    planned_request planned{.account = &state.mix.accounts[account_index],
                            .route = &state.mix.routes[due.route_index],
                            .target =
                                (state.options.pin_accounts ? account_index : state.next_target++) %
                                state.target_count,
                            .send_offset = due.send_offset};
    if (planned.route->send_idempotency_key)
    {
        planned.idempotency_key =
            fmt::format("key-{}-{}", state.options.id_prefix, state.next_id++);
        planned.first_sent_ms =
            std::chrono::floor<std::chrono::milliseconds>(core::unix_time_now()).count();
    }
    return planned;
}

asio::awaitable<void> run_account(run_state& state, std::size_t account_index)
{
    const auto executor = co_await asio::this_coro::executor;
    schedule plan =
        make_schedule(state.mix, account_index, state.options.spacing, state.options.seed);
    asio::steady_timer timer(executor);
    for (auto due = next_arrival(plan, state.options.duration); due && !state.stop_requested;
         due = next_arrival(plan, state.options.duration))
    {
        // Waits in short steps, so that a requested stop takes effect soon.
        const auto send_time = to_time_point(state, due->send_offset);
        while (!state.stop_requested && clock::now() < send_time)
        {
            timer.expires_at(std::min(send_time, clock::now() + stop_poll_interval));
            co_await timer.async_wait(tuple_awaitable);
        }
        if (!state.stop_requested)
        {
            planned_request planned = plan_request(state, account_index, *due);
            spawn(state, executor, send_with_repeat(state, std::move(planned)));
        }
    }
}

asio::awaitable<void> print_progress(run_state& state)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true)
    {
        timer.expires_after(progress_interval);
        co_await timer.async_wait(tuple_awaitable);
        std::fprintf(stderr, "\r%5.0f s  %llu completed  %zu in flight  ", elapsed(state).count(),
                     static_cast<unsigned long long>(state.report.total.sent), state.in_flight);
    }
}

} // namespace

void start_run(run_state& state, asio::io_context& context)
{
    state.start_time = clock::now();
    state.random.seed(state.options.seed);
    for (std::size_t i = 0; i < state.mix.accounts.size(); ++i)
    {
        spawn(state, context.get_executor(), run_account(state, i));
    }
    if (state.options.show_progress)
    {
        asio::co_spawn(context, print_progress(state), asio::detached);
    }
}

void run_to_completion(run_state& state, asio::io_context& context)
{
    while (state.active_tasks > 0 && context.run_one() > 0)
    {
    }
    if (state.options.show_progress)
    {
        std::fprintf(stderr, "\n");
    }
    state.record_file.flush();
    // The pooled connections must not outlive the context.
    state.pool.reset();
}

} // namespace zinniaferry::load
