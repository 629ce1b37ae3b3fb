#include "net/request_handler.hpp"

#include "admission/startup_wait.hpp"
#include "net/await_error.hpp"
#include "net/request_log.hpp"
#include "net/service_admission.hpp"
#include "net/service_waiters.hpp"
#include "request/hedging.hpp"
#include "routing/candidates.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace zinniaferry::net
{

namespace
{

using request::progress_event;
using request::refusal_reason;

/// Time that a response takes to reach the caller; subtracted from the caller's remaining time.
constexpr core::duration response_transit_time = std::chrono::milliseconds(10);
/// Used when the caller states no deadline.
constexpr core::duration default_time_left = std::chrono::seconds(10);
/// Retry-After of refusals while the daemon stops.
constexpr core::duration stopping_retry_after = std::chrono::milliseconds(100);
/// Retry-After of refusals before the first configuration.
constexpr core::duration no_configuration_retry_after = std::chrono::milliseconds(250);
/// Delay between two server selections. Each selection probes servers, which costs them time.
constexpr core::duration selection_interval = std::chrono::milliseconds(30);

} // namespace

request_handler::request_handler(gateway& gateway, http_request message, core::time_point arrived)
    : gateway_(gateway), message_(std::move(message)), arrived_(arrived), first_asked_at_(arrived),
      wake_timer_(gateway.io)
{
}

asio::awaitable<std::optional<http_response>> request_handler::run()
{
    const auto self = shared_from_this();
    ++gateway_.counters.requests;
    ++gateway_.requests_in_progress;
    std::optional<http_response> response;
    if (const auto refusal = co_await admit())
    {
        response = refuse(*refusal);
    }
    else
    {
        response = co_await forward();
        stop_waiting();
        cancel_attempts();
    }
    --gateway_.requests_in_progress;
    gateway_.durations.record(core::boot_clock_now() - arrived_);
    if (caller_gone_)
    {
        ++gateway_.counters.caller_gone;
        log_outcome("caller_gone", 0);
        co_return std::nullopt;
    }
    co_return response;
}

void request_handler::cancel()
{
    caller_gone_ = true;
    cancel_attempts();
    notify();
}

asio::awaitable<std::optional<request::refusal>> request_handler::admit()
{
    const auto described = describe_request(message_, gateway_.profile);
    if (const auto* reason = std::get_if<refusal_reason>(&described))
    {
        co_return request::refusal{.reason = *reason};
    }
    description_ = std::get<request_description>(described);
    co_await wait_for_configuration();
    if (const auto refusal = resolve_route_and_account())
    {
        co_return refusal;
    }
    const core::duration time_left =
        std::max(description_.time_left.value_or(default_time_left) - response_transit_time,
                 core::duration());
    deadline_ = arrived_ + std::min(time_left, route_->timeout);
    if (arrived_ > last_send_time())
    {
        co_return request::refusal{refusal_reason::stopping, stopping_retry_after};
    }
    if (description_.time_left)
    {
        first_asked_at_ -=
            admission::time_since_first_attempt(statistics_->deadlines, *description_.time_left);
    }
    const bool is_limited = limits::is_limited(gateway_.accounts, account_);
    const limits::grant granted = co_await net::acquire_grant(gateway_, account_);
    grant_source_ = is_limited ? std::optional(granted.source) : std::nullopt;
    if (granted.requests == 0)
    {
        co_return request::refusal{refusal_reason::over_limit, granted.retry_after};
    }
    // A weighted split between services keeps its weights also while one of the services is short
    // of capacity: the request is refused rather than moved to another service.
    service_ = config::select_service(*route_, core::uniform(gateway_.random));
    if (const auto refusal = admit_to_service())
    {
        limits::refund(gateway_.accounts, account_, core::boot_clock_now());
        co_return refusal;
    }
    progress_ = {.idempotent = route_->idempotent, .max_runs = route_->attempts};
    if (description_.time_left &&
        !admission::is_overloaded(gateway_.overloads[service_], core::boot_clock_now()))
    {
        admission::record(statistics_->deadlines, *description_.time_left);
    }
    limits::on_first_attempt(gateway_.retry_budget, service_);
    co_return std::nullopt;
}

std::optional<request::refusal> request_handler::admit_to_service()
{
    const core::time_point now = core::boot_clock_now();
    admission::on_arrival(gateway_.load_meters[service_], priority_, now);
    admission_fraction_ = core::uniform(gateway_.random);
    admission_ = decide_admission(gateway_, service_, priority_, admission_fraction_, now);
    if (admission_ != admission::admission_decision::rejected)
    {
        return std::nullopt;
    }
    return request::refusal{refusal_reason::overloaded,
                            reject_at_arrival(gateway_, service_, priority_, now)};
}

// Waits for the first configuration, for as long as one is expected soon.
asio::awaitable<void> request_handler::wait_for_configuration()
{
    const core::time_point wait_end =
        admission::configuration_wait_end({.daemon_started_at = gateway_.started_at,
                                           .arrived_at = arrived_,
                                           .time_left = description_.time_left});
    if (gateway_.configuration || core::boot_clock_now() >= wait_end)
    {
        co_return;
    }
    gateway_.on_first_configuration.push_back(
        [waiting = weak_from_this()]
        {
            if (const auto handler = waiting.lock())
            {
                handler->notify();
            }
        });
    while (!gateway_.configuration && !caller_gone_ && core::boot_clock_now() < wait_end)
    {
        co_await wait_until(wait_end);
    }
}

// Looks up the route and the account in the configuration in force. If that configuration refuses
// the request, the route and account of an earlier configuration are kept.
std::optional<request::refusal> request_handler::resolve_route_and_account()
{
    const std::shared_ptr<const config::configuration_index> current = gateway_.configuration;
    if (!current)
    {
        return request::refusal{refusal_reason::no_configuration, no_configuration_retry_after};
    }
    decided_by_version_ = current->config->version;
    const config::route* route = config::find_route(*current, description_.host, description_.path);
    if (route == nullptr)
    {
        return refuse_unknown(gateway_, refusal_reason::unknown_route, core::boot_clock_now());
    }
    const config::account* account = description_.key.empty()
                                         ? nullptr
                                         : config::find_account_by_key(*current, description_.key);
    if (account == nullptr && !route->open && !current->config->accounts.empty())
    {
        return refuse_unknown(gateway_, refusal_reason::unknown_key, core::boot_clock_now());
    }
    configuration_ = current;
    route_ = route;
    statistics_ = statistics_of(gateway_, *route);
    account_ = account == nullptr ? std::string() : account->name;
    priority_ = account == nullptr ? route->priority : account->priority.value_or(route->priority);
    return std::nullopt;
}

asio::awaitable<http_response> request_handler::forward()
{
    while (!caller_gone_)
    {
        if (auto response = settle_finished_attempts())
        {
            co_return finish_with_response(std::move(*response));
        }
        const core::time_point now = core::boot_clock_now();
        const bool idle = open_attempt_count() == 0;
        if (now >= deadline_ || (idle && !may_send_now(now)) || has_lost_its_place())
        {
            co_return give_up(now);
        }
        if (waits_behind_others(now))
        {
            // Not until it is woken, because the daemon may begin to stop.
            const core::time_point next_check = std::min(latest_start_, now + selection_interval);
            co_await wait_until(std::min(deadline_, next_check));
            continue;
        }
        if (may_send_now(now))
        {
            const admission::placement placement = current_placement();
            const bool sent = co_await send_to_next_backend(placement);
            if (configuration_refusal_)
            {
                limits::refund(gateway_.accounts, account_, core::boot_clock_now());
                co_return refuse(*configuration_refusal_);
            }
            if (sent || caller_gone_)
            {
                continue;
            }
            const core::time_point selected_at = core::boot_clock_now();
            const bool should_give_up = !placement.waits || service_pause(selected_at);
            if (open_attempt_count() == 0 && should_give_up)
            {
                co_return give_up(selected_at);
            }
            if (servers_full_ && open_attempt_count() == 0)
            {
                start_waiting(placement, selected_at);
            }
            co_await wait_until(std::min(deadline_, core::boot_clock_now() + selection_interval));
            continue;
        }
        co_await wait_until(std::min(deadline_, next_hedge_check(now)));
    }
    co_return http_response();
}

admission::placement request_handler::current_placement()
{
    if (open_attempt_count() > 0)
    {
        return admission::place_hedge(statistics_->latency.median);
    }
    const core::time_point now = core::boot_clock_now();
    admission::placement placement = admission::place({.since_arrival = now - arrived_,
                                                       .since_first_attempt = now - first_asked_at_,
                                                       .objective = route_->objective,
                                                       .usual_latency = statistics_->latency.median,
                                                       .response_transit = response_transit_time});
    using admission::admission_decision;
    const bool is_restricted = decide_admission(gateway_, service_, priority_, admission_fraction_,
                                                now) != admission_decision::unrestricted;
    // An admitted request stays so when its priority's share falls afterwards.
    admission_ = is_restricted ? admission_decision::free_slots : admission_decision::unrestricted;
    if (is_restricted && placement.accepted == routing::queueing::in_time)
    {
        placement.accepted = routing::queueing::none;
    }
    return placement;
}

void request_handler::start_waiting(const admission::placement& placement, core::time_point now)
{
    if (waiter_id_)
    {
        return;
    }
    // A request that is late in any case looks for a server by its own clock.
    const bool is_late = placement.max_delay == core::duration::max();
    latest_start_ = is_late ? now : now + placement.max_delay;
    // A configuration that comes into force while the request waits may change its priority.
    waiting_level_ = admission::priority_level(priority_);
    waiter_id_ = enter_waiters(gateway_, service_,
                               {.priority = waiting_level_, .latest_start = latest_start_},
                               [waiting = weak_from_this()]
                               {
                                   if (const auto handler = waiting.lock())
                                   {
                                       handler->notify();
                                   }
                               });
    admission::on_wait_began(gateway_.load_meters[service_]);
    ++gateway_.waiting_by_priority.at(waiting_level_);
}

void request_handler::stop_waiting()
{
    if (!waiter_id_)
    {
        return;
    }
    leave_waiters(gateway_, service_, *std::exchange(waiter_id_, std::nullopt));
    admission::on_wait_ended(gateway_.load_meters[service_]);
    --gateway_.waiting_by_priority.at(waiting_level_);
}

bool request_handler::waits_behind_others(core::time_point now) const
{
    return waiter_id_ && now < latest_start_ && !is_first_waiter(gateway_, service_, *waiter_id_);
}

bool request_handler::has_lost_its_place() const
{
    return waiter_id_ && !is_waiter(gateway_, service_, *waiter_id_);
}

// How long the servers that the request has not been sent to take nothing; nothing if one may.
std::optional<core::duration> request_handler::service_pause(core::time_point now) const
{
    return routing::service_pause(gateway_.backends, service_, tried_servers_, now);
}

std::size_t request_handler::open_attempt_count() const
{
    return static_cast<std::size_t>(std::count_if(
        attempts_.begin(), attempts_.end(), [](const auto& attempt) { return !attempt->settled; }));
}

// Time at which the request may be hedged, that is, sent to a second server although the first has
// not responded. Nothing if it may not be hedged.
std::optional<core::time_point> request_handler::hedge_time() const
{
    if (!request::may_send(progress_) || open_attempt_count() != 1)
    {
        return std::nullopt;
    }
    return request::hedge_time({.arrived_at = arrived_,
                                .sent_at = attempts_.back()->sent_at,
                                .objective = route_->objective,
                                .one_way_delay = response_transit_time,
                                .usual_latency = statistics_->latency.median});
}

// A hedge that is due and may not be sent now, for lack of retries, may be sent later.
core::time_point request_handler::next_hedge_check(core::time_point now) const
{
    const core::time_point hedge_at = hedge_time().value_or(deadline_);
    return hedge_at > now ? hedge_at : now + selection_interval;
}

core::time_point request_handler::last_send_time() const
{
    const bool may_have_run = !request::has_certainly_not_run(progress_);
    return gateway_.stop ? admission::last_send_time(*gateway_.stop, deadline_, may_have_run)
                         : deadline_;
}

bool request_handler::may_send_now(core::time_point now) const
{
    if (now > last_send_time())
    {
        return false;
    }
    if (open_attempt_count() == 0)
    {
        const bool is_first = attempts_.empty();
        return request::may_send(progress_) &&
               (is_first || limits::has_retry(gateway_.retry_budget, service_));
    }
    const auto hedge_at = hedge_time();
    return hedge_at && now >= *hedge_at && limits::has_retry(gateway_.retry_budget, service_);
}

asio::awaitable<bool> request_handler::send_to_next_backend(const admission::placement& placement)
{
    // A named object: GCC 12 destroys aggregate temporaries of a co_await expression twice.
    const selection_criteria criteria = {.service = service_,
                                         .excluded = tried_servers_,
                                         .deadline = deadline_,
                                         .queueing = placement.accepted,
                                         .max_delay = placement.max_delay};
    const backend_selection selection = co_await select_backend(gateway_, criteria);
    if (!selection.selected)
    {
        servers_full_ = selection.all_full;
        if (selection.candidates > 0)
        {
            request::record_failed_connect(progress_);
        }
        co_return false;
    }
    const connected_backend& selected = *selection.selected;
    servers_full_ = routing::is_full(*selected.server, core::boot_clock_now());
    const bool is_first = attempts_.empty();
    // The last send time may have passed while servers were probed.
    const bool is_too_late = core::boot_clock_now() > last_send_time();
    if (caller_gone_ || is_too_late ||
        (!is_first && !limits::take_retry(gateway_.retry_budget, service_)))
    {
        gateway_.backend_connections.put_back(*selected.server, selected.connection);
        co_return false;
    }
    // A newer configuration may have come into force while servers were probed.
    if (configuration_ != gateway_.configuration && attempts_.empty())
    {
        configuration_refusal_ = resolve_route_and_account();
    }
    if (configuration_refusal_)
    {
        gateway_.backend_connections.put_back(*selected.server, selected.connection);
        co_return false;
    }
    start_attempt(selection);
    co_return true;
}

void request_handler::start_attempt(backend_selection selection)
{
    const core::time_point now = core::boot_clock_now();
    gateway_.counters.repeats += attempts_.empty() ? 0 : 1;
    auto attempt = std::make_shared<request_attempt>();
    attempt->target = std::move(*selection.selected);
    attempt->sent_at = now;
    attempt->candidates = selection.candidates;
    attempt->reading = attempt->target.server->reading;
    routing::on_sent(*attempt->target.server);
    stop_waiting();
    admission::on_attempt_began(gateway_.load_meters[service_]);
    request::apply(progress_, progress_event::bytes_left);
    tried_servers_.push_back(attempt->target.server);
    attempts_.push_back(attempt);
    // `message` refers to the body in message_, which the handler owns as long as run_attempt runs.
    forwarded_request message =
        make_forwarded_request(message_, gateway_.profile,
                               {.server_id = attempt->target.server->listed.id,
                                .account = account_,
                                .time_left = deadline_ - now});
    asio::co_spawn(gateway_.io, run_attempt(shared_from_this(), attempt, std::move(message)),
                   asio::detached);
}

asio::awaitable<void> request_handler::run_attempt(std::shared_ptr<request_handler> handler,
                                                   std::shared_ptr<request_attempt> attempt,
                                                   forwarded_request message)
{
    attempt->result = co_await handler->gateway_.backend_connections.exchange(
        attempt->target.connection, message, handler->deadline_);
    attempt->finished = true;
    admission::on_attempt_ended(handler->gateway_.load_meters[handler->service_],
                                attempt->result.outcome == exchange_outcome::answered,
                                core::boot_clock_now());
    wake_first_waiter(handler->gateway_, handler->service_);
    if (attempt->settled)
    {
        // The attempt was cancelled.
        routing::on_released(*attempt->target.server);
        co_return;
    }
    handler->notify();
}

asio::awaitable<void> request_handler::wait_until(core::time_point at)
{
    if (!notified_)
    {
        wake_timer_.expires_after(std::max(at - core::boot_clock_now(), core::duration::zero()));
        boost::system::error_code ignored;
        co_await wake_timer_.async_wait(redirect_error_to(ignored));
    }
    notified_ = false;
}

void request_handler::notify()
{
    notified_ = true;
    wake_timer_.cancel();
}

void request_handler::cancel_attempts()
{
    for (const auto& attempt : attempts_)
    {
        cancel_attempt(*attempt);
    }
}

} // namespace zinniaferry::net
