#include "stand_in/backend.hpp"

#include "net/await_error.hpp"
#include "stand_in/answer.hpp"
#include "stand_in/exchange_log.hpp"
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

constexpr const char* leaving_header = "X-Zinnia-Leaving";

bool is_cold(const backend& server)
{
    return backend_clock::now() < server.cold_until;
}

bool is_pausing(const backend& server)
{
    return server.mode == backend_mode::pausing && backend_clock::now() < server.pausing_until;
}

double service_time_factor(const backend& server)
{
    const double cold_service_factor = is_cold(server) ? server.group->options.cold_factor : 1.0;
    return cold_service_factor * (server.mode == backend_mode::slow ? server.slow_factor : 1.0);
}

milliseconds draw_service_time(backend& server)
{
    const backend_options& options = server.group->options;
    const double factor =
        options.fixed_service_time ? 1.0 : -std::log(1.0 - core::uniform(server.group->random));
    const milliseconds added =
        server.mode == backend_mode::slow ? server.slow_by : milliseconds(0.0);
    return options.service_time * factor * service_time_factor(server) + added;
}

std::string format_current_load(const backend& server)
{
    const double bias = server.group->options.report_bias;
    const char* state = server.mode == backend_mode::draining ? "draining"
                        : is_cold(server)                     ? "cold"
                                                              : "serving";
    const auto running = std::llround(server.running * bias);
    const auto waiting = std::llround(static_cast<double>(server.waiting.size()) * bias);
    const backend_options& options = server.group->options;
    if (options.profile.parse_load == routing::parse_positional_load)
    {
        return fmt::format("{},{},{},{}", running, waiting, options.slots,
                           std::llround(100.0 * service_time_factor(server)));
    }
    return fmt::format("inflight={};queue={};slots={};state={}", running, waiting, options.slots,
                       state);
}

// Records the current load for reports that lag, and drops samples that are too old to be reported
// again. Must be called after each change of the load.
void record_load(backend& server)
{
    server.load_samples.push_back(
        {.at = backend_clock::now(), .header_value = format_current_load(server)});
    const auto reported_at = backend_clock::now() - server.group->options.report_lag;
    while (server.load_samples.size() > 1 && server.load_samples[1].at <= reported_at)
    {
        server.load_samples.pop_front();
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
    record_load(server);
}

// Holds a slot or a place in the queue, and releases it when the request ends or is cancelled.
struct slot_reservation
{
    slot_reservation(backend& server, const asio::any_io_executor& executor)
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
        record_load(server);
    }
    slot_reservation(const slot_reservation&) = delete;
    slot_reservation& operator=(const slot_reservation&) = delete;
    ~slot_reservation()
    {
        if (waiter.granted)
        {
            release_slot(server);
            return;
        }
        std::erase(server.waiting, &waiter);
        record_load(server);
    }

    backend& server;
    slot_waiter waiter;
};

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string find_header(const http_request& request, const std::string& name)
{
    return find_value(request.headers, to_lower(name));
}

http_response not_run_response(const backend& server, const char* error_code)
{
    const json::object body{{"error", error_code}, {"outcome", "not_run"}, {"detail", "not run"}};
    http_response response = json_response(503, json::serialize(body));
    const net::http_profile& profile = server.group->options.profile;
    response.headers.emplace_back(profile.not_run_header,
                                  profile.not_run_value.empty() ? "1" : profile.not_run_value);
    return response;
}

http_response failure_response(unsigned status, const char* error_code)
{
    const json::object body{{"error", error_code}, {"outcome", "unknown"}, {"detail", "failed"}};
    return json_response(status, json::serialize(body));
}

// Estimates, from the queue length and the mean service time, whether a slot is free before the
// deadline.
bool can_meet_deadline(const backend& server, std::optional<milliseconds> deadline)
{
    if (!deadline || server.mode == backend_mode::late)
    {
        return true;
    }
    const backend_options& options = server.group->options;
    const auto queued_requests = static_cast<double>(server.waiting.size());
    const bool all_slots_busy = server.running >= options.slots;
    const double service_rounds = all_slots_busy ? (queued_requests + 1.0) / options.slots : 0.0;
    return options.service_time * service_time_factor(server) * service_rounds < *deadline;
}

struct request_timing
{
    backend_clock::time_point arrived_at;
    std::optional<milliseconds> deadline; ///< Time allowed, counted from the arrival.

    backend_clock::time_point deadline_time() const
    {
        return deadline
                   ? arrived_at + std::chrono::duration_cast<backend_clock::duration>(*deadline)
                   : backend_clock::time_point::max();
    }
};

// Simulates the execution of a request by waiting for its service time. It is logged as an
// execution however it ends.
asio::awaitable<http_response> execute_request(backend& server, const http_request& request,
                                               request_timing times)
{
    execution entry(server, request);
    const auto executor = co_await asio::this_coro::executor;
    const auto work_time =
        std::chrono::duration_cast<backend_clock::duration>(draw_service_time(server));
    const bool late = server.mode == backend_mode::late;
    const auto work_end = backend_clock::now() + work_time;
    const auto respond_at =
        late ? std::max(work_end,
                        times.arrived_at + std::chrono::duration_cast<backend_clock::duration>(
                                               times.deadline.value_or(milliseconds(0.0)) +
                                               server.group->options.late_by))
             : std::min(work_end, times.deadline_time());
    asio::steady_timer timer(executor, respond_at);
    const auto [error] = co_await timer.async_wait(tuple_awaitable);
    if (error)
    {
        co_return failure_response(500, "cancelled");
    }
    if (!late && work_end > times.deadline_time())
    {
        entry.end = execution_end::cut;
        co_return failure_response(504, "deadline");
    }
    entry.end = execution_end::completed;
    const net::http_profile& profile = server.group->options.profile;
    http_response response = json_response(
        200, make_response_body(find_header(request, profile.request_id_header), server.name,
                                request.target, server.group->options.body_bytes));
    if (!profile.signature_header.empty())
    {
        response.headers.emplace_back(profile.signature_header, server.name);
    }
    co_return response;
}

asio::awaitable<http_response> admit_and_execute(backend& server, const http_request& request)
{
    request_timing times{.arrived_at = backend_clock::now()};
    if (const auto deadline_ms =
            find_number(request.headers, to_lower(server.group->options.profile.time_left_header)))
    {
        times.deadline = milliseconds(*deadline_ms);
    }
    const backend_options& options = server.group->options;
    const bool queue_full =
        server.running >= options.slots && server.waiting.size() >= options.queue_capacity;
    if (queue_full || !can_meet_deadline(server, times.deadline))
    {
        ++server.counters.shed;
        co_return not_run_response(server, queue_full ? "shed" : "deadline");
    }
    if (is_cold(server) && server.running + server.waiting.size() >= options.cold_allowance)
    {
        ++server.counters.cold_overruns;
    }
    const auto executor = co_await asio::this_coro::executor;
    slot_reservation reservation(server, executor);
    if (!reservation.waiter.granted)
    {
        reservation.waiter.timer.expires_at(times.deadline_time());
        co_await reservation.waiter.timer.async_wait(tuple_awaitable);
    }
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != asio::cancellation_type::none)
    {
        co_return not_run_response(server, "cancelled");
    }
    if (!reservation.waiter.granted)
    {
        ++server.counters.shed;
        co_return not_run_response(server, "deadline");
    }
    co_return co_await execute_request(server, request, times);
}

asio::awaitable<http_response> respond(backend& server, const http_request& request,
                                       exchange& entry)
{
    backend_counters& counters = server.counters;
    const std::string expected_server =
        find_header(request, server.group->options.profile.expected_server_header);
    if (!expected_server.empty() && expected_server != server.name)
    {
        ++counters.misdirected;
        http_response response = not_run_response(server, "wrong_server");
        response.status = 421;
        co_return response;
    }
    if (entry.kind == request_kind::health_check)
    {
        ++counters.probes;
        co_return json_response(server.mode == backend_mode::fail_fast ? 500 : 200,
                                R"({"status": "up"})");
    }
    if (server.mode == backend_mode::fail_fast)
    {
        ++counters.failed_fast;
        co_return failure_response(500, "fail_fast");
    }
    if (server.mode == backend_mode::draining)
    {
        ++counters.while_draining;
        co_return not_run_response(server, "draining");
    }
    if (is_pausing(server))
    {
        ++counters.while_pausing;
        entry.retry_after = server.retry_after;
        http_response response = not_run_response(server, "pausing");
        response.headers.emplace_back("Retry-After",
                                      fmt::format("{}", core::to_seconds(server.retry_after)));
        co_return response;
    }
    // A cancelled request must still release its slot and write its log entries.
    co_await asio::this_coro::throw_if_cancelled(false);
    co_return co_await admit_and_execute(server, request);
}

asio::awaitable<http_response> handle_request(backend& server, http_request request)
{
    const net::http_profile& profile = server.group->options.profile;
    exchange entry(server, request,
                   request.path == "/health" ? request_kind::health_check : request_kind::work);
    server.counters.key_headers += request.headers.contains(to_lower(profile.key_header)) ? 1 : 0;
    http_response response = co_await respond(server, request, entry);
    const std::string request_id = find_header(request, profile.request_id_header);
    if (!request_id.empty())
    {
        response.headers.emplace_back(profile.request_id_header, request_id);
    }
    response.headers.emplace_back(profile.server_id_header, server.name);
    response.headers.emplace_back(profile.load_header, reported_load(server));
    if (is_cold(server))
    {
        const milliseconds warmup_left = server.cold_until - backend_clock::now();
        response.headers.emplace_back(profile.warmup_left_header,
                                      fmt::format("{:.0f}", warmup_left.count()));
    }
    if (server.leaving)
    {
        response.headers.emplace_back(leaving_header, "1");
    }
    const auto cancellation = co_await asio::this_coro::cancellation_state;
    // The response of a cancelled request is not sent.
    if (cancellation.cancelled() == asio::cancellation_type::none)
    {
        entry.status = response.status;
        entry.leaving = server.leaving;
    }
    co_return response;
}

// Opens a log for appending, unless its name is empty.
core::result<void> open_log(std::ofstream& log, const std::string& file)
{
    if (file.empty())
    {
        return {};
    }
    log.open(file, std::ios::app);
    if (!log)
    {
        return boost::leaf::new_error(
            core::file_error{.file = file, .error_number = errno != 0 ? errno : EIO});
    }
    return {};
}

} // namespace

core::result<std::unique_ptr<backend_group>>
make_backend_group(const backend_options& options, const std::string& execution_log_file,
                   const std::string& exchange_log_file)
{
    auto group = std::make_unique<backend_group>();
    group->options = options;
    group->random.seed(options.seed);
    BOOST_LEAF_CHECK(open_log(group->execution_log, execution_log_file));
    BOOST_LEAF_CHECK(open_log(group->exchange_log, exchange_log_file));
    for (unsigned i = 1; i <= options.count; ++i)
    {
        auto server = std::make_unique<backend>();
        server->group = group.get();
        server->name = fmt::format("{}-{}", options.service, i);
        server->cold_until = backend_clock::now() +
                             std::chrono::duration_cast<backend_clock::duration>(options.cold_time);
        record_load(*server);
        group->servers.push_back(std::move(server));
    }
    return group;
}

http_handler make_backend_handler(backend& server)
{
    return [&server](http_request request)
    {
        return handle_request(server, std::move(request));
    };
}

std::string reported_load(backend& server)
{
    record_load(server);
    return server.load_samples.front().header_value;
}

} // namespace zinniaferry::stand_in
