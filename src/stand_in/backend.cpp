#include "stand_in/backend.hpp"

#include "net/await_error.hpp"
#include "stand_in/answer.hpp"
#include "stand_in/execution_log.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cmath>
#include <optional>

namespace zinniaferry::stand_in
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

using net::tuple_awaitable;

bool is_cold(const backend& server)
{
    return backend_clock::now() < server.cold_until;
}

double slowness(const backend& server)
{
    const double cold = is_cold(server) ? server.group->options.cold_factor : 1.0;
    return cold * (server.mode == behaviour::slow ? server.slow_factor : 1.0);
}

milliseconds draw_service_time(backend& server)
{
    const backend_options& options = server.group->options;
    const double factor =
        options.fixed_service_time ? 1.0 : -std::log(1.0 - core::uniform(server.group->random));
    return options.service_time * factor * slowness(server);
}

std::string present_load(const backend& server)
{
    const double bias = server.group->options.report_bias;
    const char* state = server.mode == behaviour::draining ? "draining"
                        : is_cold(server)                  ? "cold"
                                                           : "serving";
    const auto running = std::llround(server.running * bias);
    const auto waiting = std::llround(static_cast<double>(server.waiting.size()) * bias);
    const backend_options& options = server.group->options;
    if (options.profile.parse_load == routing::parse_positional_load)
    {
        return fmt::format("{},{},{},{}", running, waiting, options.slots,
                           std::llround(100.0 * slowness(server)));
    }
    return fmt::format("inflight={};queue={};slots={};state={}", running, waiting, options.slots,
                       state);
}

// Called after each change of the load, so that a lagging report has the past to tell.
void note_load(backend& server)
{
    server.samples.push_back({.at = backend_clock::now(), .report = present_load(server)});
    const auto shown = backend_clock::now() - server.group->options.report_lag;
    while (server.samples.size() > 1 && server.samples[1].at <= shown)
    {
        server.samples.pop_front();
    }
}

void release_slot(backend& server)
{
    --server.running;
    if (!server.waiting.empty() && server.running < server.group->options.slots)
    {
        slot_waiter* next = server.waiting.front();
        server.waiting.pop_front();
        next->granted = true;
        next->timer.cancel();
        ++server.running;
    }
    note_load(server);
}

// Holds a slot or a place in the queue; both are given back when the request ends or is cancelled.
struct slot_holder
{
    slot_holder(backend& server, const asio::any_io_executor& executor)
        : server(server), waiter{.timer = asio::steady_timer(executor)}
    {
        if (server.running < server.group->options.slots)
        {
            ++server.running;
            waiter.granted = true;
        }
        else
        {
            server.waiting.push_back(&waiter);
        }
        note_load(server);
    }
    slot_holder(const slot_holder&) = delete;
    slot_holder& operator=(const slot_holder&) = delete;
    ~slot_holder()
    {
        if (waiter.granted)
        {
            release_slot(server);
            return;
        }
        std::erase(server.waiting, &waiter);
        note_load(server);
    }

    backend& server;
    slot_waiter waiter;
};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string find_header(const http_request& request, const std::string& name)
{
    return find_value(request.headers, lower(name));
}

http_reply not_run_reply(const backend& server, const char* why)
{
    const json::object body{{"error", why}, {"outcome", "not_run"}, {"detail", "not run"}};
    http_reply reply = json_reply(503, json::serialize(body));
    const net::http_profile& profile = server.group->options.profile;
    reply.headers.emplace_back(profile.not_run_header,
                               profile.not_run_value.empty() ? "1" : profile.not_run_value);
    return reply;
}

http_reply failed_reply(unsigned status, const char* why)
{
    const json::object body{{"error", why}, {"outcome", "unknown"}, {"detail", "failed"}};
    return json_reply(status, json::serialize(body));
}

bool can_meet(const backend& server, std::optional<milliseconds> deadline)
{
    if (!deadline || server.mode == behaviour::late)
    {
        return true;
    }
    const backend_options& options = server.group->options;
    const auto ahead = static_cast<double>(server.waiting.size());
    const bool must_wait = server.running >= options.slots;
    const double turns = must_wait ? (ahead + 1.0) / options.slots : 0.0;
    return options.service_time * slowness(server) * turns < *deadline;
}

struct timing
{
    backend_clock::time_point arrived;
    std::optional<milliseconds> deadline; ///< From the arrival.

    backend_clock::time_point due() const
    {
        return deadline ? arrived + std::chrono::duration_cast<backend_clock::duration>(*deadline)
                        : backend_clock::time_point::max();
    }
};

// Runs the request: a wait in place of work. Logged as an execution however it ends.
asio::awaitable<http_reply> run_request(backend& server, const http_request& request, timing times)
{
    execution entry(server, request);
    const auto executor = co_await asio::this_coro::executor;
    const auto work =
        std::chrono::duration_cast<backend_clock::duration>(draw_service_time(server));
    const bool late = server.mode == behaviour::late;
    const auto done = backend_clock::now() + work;
    const auto until =
        late ? std::max(done, times.arrived + std::chrono::duration_cast<backend_clock::duration>(
                                                  times.deadline.value_or(milliseconds(0.0)) +
                                                  server.group->options.late_by))
             : std::min(done, times.due());
    asio::steady_timer timer(executor, until);
    const auto [error] = co_await timer.async_wait(tuple_awaitable);
    if (error)
    {
        co_return failed_reply(500, "cancelled");
    }
    if (!late && done > times.due())
    {
        entry.end = execution_end::cut;
        co_return failed_reply(504, "deadline");
    }
    entry.end = execution_end::completed;
    const net::http_profile& profile = server.group->options.profile;
    http_reply reply =
        json_reply(200, make_answer(find_header(request, profile.request_id_header), server.name,
                                    request.target, server.group->options.body_bytes));
    if (!profile.signature_header.empty())
    {
        reply.headers.emplace_back(profile.signature_header, server.name);
    }
    co_return reply;
}

asio::awaitable<http_reply> admit_and_run(backend& server, const http_request& request)
{
    timing times{.arrived = backend_clock::now()};
    if (const auto given =
            find_number(request.headers, lower(server.group->options.profile.time_left_header)))
    {
        times.deadline = milliseconds(*given);
    }
    const backend_options& options = server.group->options;
    const bool queue_full =
        server.running >= options.slots && server.waiting.size() >= options.queue;
    if (queue_full || !can_meet(server, times.deadline))
    {
        ++server.counters.shed;
        co_return not_run_reply(server, queue_full ? "shed" : "deadline");
    }
    if (is_cold(server) && server.running + server.waiting.size() >= options.cold_allowance)
    {
        ++server.counters.cold_overruns;
    }
    const auto executor = co_await asio::this_coro::executor;
    slot_holder holder(server, executor);
    if (!holder.waiter.granted)
    {
        holder.waiter.timer.expires_at(times.due());
        co_await holder.waiter.timer.async_wait(tuple_awaitable);
    }
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != asio::cancellation_type::none)
    {
        co_return not_run_reply(server, "cancelled");
    }
    if (!holder.waiter.granted)
    {
        ++server.counters.shed;
        co_return not_run_reply(server, "deadline");
    }
    co_return co_await run_request(server, request, times);
}

asio::awaitable<http_reply> answer_request(backend& server, http_request request)
{
    backend_counters& counters = server.counters;
    http_reply reply;
    const net::http_profile& profile = server.group->options.profile;
    counters.key_headers += request.headers.contains(lower(profile.key_header)) ? 1 : 0;
    const std::string expected = find_header(request, profile.expected_server_header);
    if (!expected.empty() && expected != server.name)
    {
        ++counters.misdirected;
        reply = not_run_reply(server, "wrong_server");
        reply.status = 421;
    }
    else if (request.path == "/health")
    {
        ++counters.probes;
        reply = json_reply(server.mode == behaviour::fail_fast ? 500 : 200, R"({"status": "up"})");
    }
    else if (server.mode == behaviour::fail_fast)
    {
        ++counters.failed_fast;
        reply = failed_reply(500, "fail_fast");
    }
    else if (server.mode == behaviour::draining)
    {
        ++counters.while_draining;
        reply = not_run_reply(server, "draining");
    }
    else
    {
        // A cancelled request must still give its slot back and close its log entry.
        co_await asio::this_coro::throw_if_cancelled(false);
        reply = co_await admit_and_run(server, request);
    }
    const std::string id = find_header(request, profile.request_id_header);
    if (!id.empty())
    {
        reply.headers.emplace_back(profile.request_id_header, id);
    }
    reply.headers.emplace_back(profile.server_id_header, server.name);
    reply.headers.emplace_back(profile.load_header, load_report(server));
    if (is_cold(server))
    {
        const milliseconds left = server.cold_until - backend_clock::now();
        reply.headers.emplace_back(profile.warmup_left_header, fmt::format("{:.0f}", left.count()));
    }
    co_return reply;
}

} // namespace

core::result<std::unique_ptr<backend_group>> make_backend_group(const backend_options& options,
                                                                const std::string& log_file)
{
    auto group = std::make_unique<backend_group>();
    group->options = options;
    group->random.seed(options.seed);
    if (!log_file.empty())
    {
        group->log.open(log_file, std::ios::app);
        if (!group->log)
        {
            return boost::leaf::new_error(
                core::file_error{.file = log_file, .error_number = errno != 0 ? errno : EIO});
        }
    }
    for (unsigned i = 1; i <= options.count; ++i)
    {
        auto server = std::make_unique<backend>();
        server->group = group.get();
        server->name = fmt::format("{}-{}", options.service, i);
        server->cold_until = backend_clock::now() +
                             std::chrono::duration_cast<backend_clock::duration>(options.cold_time);
        note_load(*server);
        group->servers.push_back(std::move(server));
    }
    return group;
}

http_handler make_backend_handler(backend& server)
{
    return [&server](http_request request)
    {
        return answer_request(server, std::move(request));
    };
}

std::string load_report(backend& server)
{
    note_load(server);
    return server.samples.front().report;
}

} // namespace zinniaferry::stand_in
