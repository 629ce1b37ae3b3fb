#include "net/request_flow.hpp"

#include "net/await_error.hpp"
#include "request/second_send.hpp"
#include "routing/candidates.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace zinniaferry::net
{

namespace
{

using request::progress_event;
using request::refusal_reason;

/// Taken off the caller's time, because the answer needs time on its way.
constexpr core::duration way_back = std::chrono::milliseconds(10);
constexpr core::duration default_time_left = std::chrono::seconds(10);
constexpr core::duration busy_retry_after = std::chrono::milliseconds(100);
constexpr core::duration start_retry_after = std::chrono::milliseconds(250);
/// Part of the objective for which a request waits for a server that may get it.
constexpr double hold_part = 0.1;
/// Time between two choices of a server. Each asks servers for their load, which costs them time.
constexpr core::duration hold_step = std::chrono::milliseconds(30);

core::duration part_of(core::duration whole, double part)
{
    return core::from_seconds(core::to_seconds(whole) * part);
}

routing::failure_kind failure_of(exchange_end end)
{
    switch (end)
    {
    case exchange_end::wrong_server:
        return routing::failure_kind::wrong_server;
    case exchange_end::timed_out:
        return routing::failure_kind::timeout;
    default:
        return routing::failure_kind::broken;
    }
}

refusal_reason reason_of(exchange_end end)
{
    switch (end)
    {
    case exchange_end::timed_out:
        return refusal_reason::deadline;
    case exchange_end::malformed:
        return refusal_reason::unusable_answer;
    default:
        return refusal_reason::server_lost;
    }
}

} // namespace

request_flow::request_flow(gateway& gateway, const http_request& message, core::time_point arrived)
    : gateway_(gateway), message_(message), arrived_(arrived), wake_(gateway.io)
{
}

asio::awaitable<std::optional<http_response>> request_flow::run()
{
    const auto alive = shared_from_this();
    ++gateway_.counters.requests;
    ++gateway_.requests_in_progress;
    std::optional<http_response> answer;
    if (const auto refusal = co_await admit())
    {
        answer = refuse(*refusal);
    }
    else
    {
        answer = co_await serve();
        stop_attempts();
    }
    --gateway_.requests_in_progress;
    gateway_.durations.record(core::boot_clock_now() - arrived_);
    if (caller_gone_)
    {
        ++gateway_.counters.caller_gone;
        log_end("caller_gone", 0);
        co_return std::nullopt;
    }
    co_return answer;
}

void request_flow::cancel()
{
    caller_gone_ = true;
    stop_attempts();
    notify();
}

asio::awaitable<std::optional<request::refusal>> request_flow::admit()
{
    const auto described = describe_request(message_, gateway_.profile);
    if (const auto* reason = std::get_if<refusal_reason>(&described))
    {
        co_return request::refusal{.reason = *reason};
    }
    described_ = std::get<request_description>(described);
    if (gateway_.refusing)
    {
        co_return request::refusal{refusal_reason::stopping, busy_retry_after};
    }
    if (const auto refusal = check_in_force())
    {
        co_return refusal;
    }
    const core::duration time_left =
        std::max(described_.time_left.value_or(default_time_left) - way_back, core::duration());
    deadline_ = arrived_ + std::min(time_left, route_->timeout);
    const limits::grant granted = co_await net::admit(gateway_, account_);
    if (granted.requests == 0)
    {
        co_return request::refusal{refusal_reason::over_limit, granted.retry_after};
    }
    // Each part of a split gets its weight also while it is short of room: a request stays with
    // its part and is refused there rather than moved.
    service_ = config::select_service(*route_, core::uniform(gateway_.random));
    progress_ = {.idempotent = route_->idempotent, .max_runs = route_->attempts};
    limits::on_first_attempt(gateway_.repeats, service_);
    co_return std::nullopt;
}

// Finds the route and the account in the configuration in force. When it refuses the request, what
// an earlier version decided is kept.
std::optional<request::refusal> request_flow::check_in_force()
{
    const std::shared_ptr<const config::configuration_index> present = gateway_.configuration;
    if (!present)
    {
        return request::refusal{refusal_reason::no_configuration, start_retry_after};
    }
    const config::route* route = config::find_route(*present, described_.host, described_.path);
    if (route == nullptr)
    {
        return request::refusal{.reason = refusal_reason::unknown_route};
    }
    const config::account* account =
        described_.key.empty() ? nullptr : config::find_account_by_key(*present, described_.key);
    if (account == nullptr && !route->open && !present->config->accounts.empty())
    {
        return request::refusal{.reason = refusal_reason::unknown_key};
    }
    configuration_ = present;
    route_ = route;
    pace_ = pace_of(gateway_, *route);
    account_ = account == nullptr ? std::string() : account->name;
    return std::nullopt;
}

asio::awaitable<http_response> request_flow::serve()
{
    while (!caller_gone_)
    {
        if (auto answer = settle_ended())
        {
            co_return hand_over(std::move(*answer));
        }
        const core::time_point now = core::boot_clock_now();
        const bool idle = open_attempts() == 0;
        if (now >= deadline_ || (idle && !may_send_now(now)))
        {
            co_return give_up(now);
        }
        if (may_send_now(now))
        {
            const bool sent = co_await send_to_next();
            if (withdrawn_)
            {
                limits::refund(gateway_.accounts, account_, core::boot_clock_now());
                co_return refuse(*withdrawn_);
            }
            if (sent || caller_gone_)
            {
                continue;
            }
            if (open_attempts() == 0 && core::boot_clock_now() >= hold_until())
            {
                co_return give_up(core::boot_clock_now());
            }
            co_await wait_until(std::min(deadline_, core::boot_clock_now() + hold_step));
            continue;
        }
        co_await wait_until(std::min(deadline_, second_send_time().value_or(deadline_)));
    }
    co_return http_response();
}

core::time_point request_flow::hold_until() const
{
    return arrived_ + part_of(route_->objective, hold_part);
}

// A second send is worth its cost at a free slot only. A first one looks for a server that answers
// in time for a while, and is content with a late answer then.
routing::queueing request_flow::accepted_queueing() const
{
    if (open_attempts() > 0)
    {
        return routing::queueing::none;
    }
    return core::boot_clock_now() < hold_until() ? routing::queueing::in_time
                                                 : routing::queueing::late;
}

// How long the request may wait at a server for its work to begin.
core::duration request_flow::patience() const
{
    return arrived_ + route_->objective - way_back - pace_->median - core::boot_clock_now();
}

std::size_t request_flow::open_attempts() const
{
    return static_cast<std::size_t>(std::count_if(
        attempts_.begin(), attempts_.end(), [](const auto& entry) { return !entry->settled; }));
}

// When the request may go to a second server although the first has not answered.
std::optional<core::time_point> request_flow::second_send_time() const
{
    if (!request::may_send(progress_) || open_attempts() != 1)
    {
        return std::nullopt;
    }
    return request::hedge_time({.arrived_at = arrived_,
                                .sent_at = attempts_.back()->started,
                                .objective = route_->objective,
                                .one_way_delay = way_back,
                                .usual_latency = pace_->median});
}

bool request_flow::may_send_now(core::time_point now) const
{
    if (open_attempts() == 0)
    {
        const bool first = attempts_.empty();
        return request::may_send(progress_) &&
               (first || limits::has_retry(gateway_.repeats, service_));
    }
    const auto second = second_send_time();
    return second && now >= *second && limits::has_retry(gateway_.repeats, service_);
}

asio::awaitable<bool> request_flow::send_to_next()
{
    // A named object: GCC 12 destroys aggregate temporaries of a co_await expression twice.
    const target_request wanted = {.service = service_,
                                   .excluded = tried_,
                                   .deadline = deadline_,
                                   .queueing = accepted_queueing(),
                                   .patience = patience()};
    const target_choice choice = co_await choose_target(gateway_, wanted);
    if (!choice.chosen)
    {
        servers_full_ = choice.all_full;
        if (choice.candidates > 0)
        {
            request::record_failed_connect(progress_);
        }
        co_return false;
    }
    const target& chosen = *choice.chosen;
    servers_full_ = routing::is_full(*chosen.server, core::boot_clock_now());
    const bool first = attempts_.empty();
    if (caller_gone_ || (!first && !limits::take_retry(gateway_.repeats, service_)))
    {
        gateway_.pool.put_back(*chosen.server, chosen.connection);
        co_return false;
    }
    // A newer version may have come while the servers were asked.
    if (configuration_ != gateway_.configuration && attempts_.empty())
    {
        withdrawn_ = check_in_force();
    }
    if (withdrawn_)
    {
        gateway_.pool.put_back(*chosen.server, chosen.connection);
        co_return false;
    }
    start_attempt(choice);
    co_return true;
}

void request_flow::start_attempt(target_choice choice)
{
    const core::time_point now = core::boot_clock_now();
    gateway_.counters.repeats += attempts_.empty() ? 0 : 1;
    auto entry = std::make_shared<request_attempt>();
    entry->at = std::move(*choice.chosen);
    entry->started = now;
    entry->candidates = choice.candidates;
    entry->reading = entry->at.server->reading;
    routing::on_sent(*entry->at.server);
    request::apply(progress_, progress_event::bytes_left);
    tried_.push_back(entry->at.server);
    attempts_.push_back(entry);
    http_request message = make_forwarded(message_, gateway_.profile,
                                          {.server_id = entry->at.server->listed.id,
                                           .account = account_,
                                           .time_left = deadline_ - now});
    asio::co_spawn(gateway_.io, carry_out(shared_from_this(), entry, std::move(message)),
                   asio::detached);
}

asio::awaitable<void> request_flow::carry_out(std::shared_ptr<request_flow> flow,
                                              std::shared_ptr<request_attempt> entry,
                                              http_request message)
{
    entry->result =
        co_await flow->gateway_.pool.exchange(entry->at.connection, message, flow->deadline_);
    entry->ended = true;
    if (entry->settled)
    {
        // Nobody waits for this attempt any more.
        routing::on_released(*entry->at.server);
        co_return;
    }
    flow->notify();
}

std::optional<http_response> request_flow::settle_ended()
{
    for (std::size_t i = 0; i < attempts_.size(); ++i)
    {
        if (attempts_[i]->ended && !attempts_[i]->settled)
        {
            if (auto answer = settle(*attempts_[i]))
            {
                return answer;
            }
        }
    }
    return std::nullopt;
}

std::optional<http_response> request_flow::settle(request_attempt& entry)
{
    entry.settled = true;
    const core::time_point now = core::boot_clock_now();
    const core::duration latency = now - entry.started;
    routing::backend& server = *entry.at.server;
    trail_.push_back(describe_attempt(entry, arrived_, latency));
    switch (entry.result.end)
    {
    case exchange_end::answered:
        return settle_answer(entry, latency);
    case exchange_end::not_run:
        routing::on_released(server);
        gateway_.pool.put_back(server, entry.at.connection);
        request::apply(progress_, progress_event::server_refused);
        servers_full_ = true;
        return std::nullopt;
    case exchange_end::wrong_server:
        routing::on_failed(server, routing::failure_kind::wrong_server, now);
        request::apply(progress_, progress_event::server_refused);
        return std::nullopt;
    default:
        settle_loss(entry, now);
        return std::nullopt;
    }
}

// An error that a server states counts as run. Another server may do better with an idempotent
// request.
std::optional<http_response> request_flow::settle_answer(request_attempt& entry,
                                                         core::duration latency)
{
    routing::backend& server = *entry.at.server;
    const core::time_point now = core::boot_clock_now();
    if (const auto load = gateway_.profile.parse_load(
            header_value(entry.result.answer->base(), gateway_.profile.load), now))
    {
        routing::on_load_reading(server, *load, core::duration::zero());
    }
    gateway_.pool.put_back(server, entry.at.connection);
    if (entry.result.answer->result_int() < 500)
    {
        routing::on_response(gateway_.backends, server, latency, pace_->median, now);
        routing::record_latency(*pace_, latency);
        request::apply(progress_, progress_event::answer);
        return std::move(entry.result.answer);
    }
    routing::on_failed(server, routing::failure_kind::error, now);
    request::apply(progress_, progress_event::attempt_lost);
    error_answer_ = std::move(entry.result.answer);
    loss_ = refusal_reason::unusable_answer;
    return std::nullopt;
}

void request_flow::settle_loss(request_attempt& entry, core::time_point now)
{
    routing::on_failed(*entry.at.server, failure_of(entry.result.end), now);
    request::apply(progress_, progress_event::attempt_lost);
    loss_ = reason_of(entry.result.end);
}

http_response request_flow::give_up(core::time_point now)
{
    const bool not_run = request::has_certainly_not_run(progress_);
    request::apply(progress_, progress_event::give_up);
    if (error_answer_)
    {
        return hand_over(std::move(*error_answer_));
    }
    if (not_run)
    {
        limits::refund(gateway_.accounts, account_, now);
        const bool late = now >= deadline_;
        const auto reason = servers_full_ ? refusal_reason::overloaded
                            : late        ? refusal_reason::expired
                                          : refusal_reason::no_server;
        return refuse({reason, busy_retry_after});
    }
    return refuse({.reason = now >= deadline_ ? refusal_reason::deadline
                                              : loss_.value_or(refusal_reason::server_lost)});
}

asio::awaitable<void> request_flow::wait_until(core::time_point at)
{
    if (!notified_)
    {
        wake_.expires_after(std::max(at - core::boot_clock_now(), core::duration::zero()));
        boost::system::error_code ignored;
        co_await wake_.async_wait(into(ignored));
    }
    notified_ = false;
}

void request_flow::notify()
{
    notified_ = true;
    wake_.cancel();
}

// Closing the connection tells the server to stop the work, and keeps a late answer from reuse.
void request_flow::stop_attempts()
{
    for (const auto& entry : attempts_)
    {
        if (!entry->settled)
        {
            entry->settled = true;
            boost::system::error_code ignored;
            entry->at.connection->socket.close(ignored);
            if (entry->ended)
            {
                routing::on_released(*entry->at.server);
            }
        }
    }
}

http_response request_flow::hand_over(http_response answer)
{
    ++gateway_.counters.answered;
    remove_server_headers(answer, gateway_.profile);
    answer.version(11);
    log_end("answered", answer.result_int());
    return answer;
}

http_response request_flow::refuse(const request::refusal& refusal)
{
    ++gateway_.counters.refused.at(static_cast<std::size_t>(refusal.reason));
    log_end(request::to_string(refusal.reason), request::http_status(refusal.reason));
    return make_refusal(refusal, gateway_.profile, described_.id);
}

void request_flow::log_end(std::string_view outcome, unsigned status)
{
    const char* kind = outcome == "answered" ? "answered" : "not_answered";
    if (!gateway_.log.should_log(kind))
    {
        return;
    }
    for (const auto& entry : attempts_)
    {
        if (!entry->settled)
        {
            trail_.push_back(
                describe_attempt(*entry, arrived_, core::boot_clock_now() - entry->started));
        }
    }
    gateway_.log.write("requests", kind,
                       {{"request", described_.id},
                        {"outcome", outcome},
                        {"status", status},
                        {"version", configuration_ ? configuration_->config->version : 0},
                        {"account", account_},
                        {"service", service_},
                        {"ms", core::to_milliseconds(core::boot_clock_now() - arrived_)},
                        {"attempts", std::move(trail_)}});
}

} // namespace zinniaferry::net
