/// The part of request_handler that evaluates the results of attempts and reports the outcome.
#include "net/request_handler.hpp"

#include "net/request_log.hpp"
#include "net/service_admission.hpp"
#include "routing/candidates.hpp"

namespace zinniaferry::net
{

namespace
{

using request::progress_event;
using request::refusal_reason;

/// Retry-After when no server can take the request.
constexpr core::duration busy_retry_after = std::chrono::milliseconds(100);
/// Retry-After when servers with free slots rejected the request: another attempt may succeed at
/// once.
constexpr core::duration rejected_retry_after = std::chrono::milliseconds(20);

} // namespace

std::optional<http_response> request_handler::settle_finished_attempts()
{
    for (std::size_t i = 0; i < attempts_.size(); ++i)
    {
        if (attempts_[i]->finished && !attempts_[i]->settled)
        {
            if (auto response = settle_attempt(*attempts_[i]))
            {
                return response;
            }
        }
    }
    return std::nullopt;
}

std::optional<http_response> request_handler::settle_attempt(request_attempt& attempt)
{
    attempt.settled = true;
    const core::time_point now = core::boot_clock_now();
    const core::duration latency = now - attempt.sent_at;
    routing::backend& server = *attempt.target.server;
    attempt_log_.push_back(describe_attempt(attempt, arrived_, latency));
    switch (attempt.result.outcome)
    {
    case exchange_outcome::answered:
        return settle_response(attempt, latency);
    case exchange_outcome::not_run:
        routing::on_released(server);
        gateway_.backend_connections.put_back(server, attempt.target.connection);
        request::apply(progress_, progress_event::server_refused);
        record_reported_load(attempt, gateway_.profile, now);
        servers_full_ = routing::is_full(server, now);
        return std::nullopt;
    case exchange_outcome::wrong_server:
        routing::on_failed(server, routing::failure_kind::wrong_server, now);
        request::apply(progress_, progress_event::server_refused);
        return std::nullopt;
    default:
        settle_failure(attempt, now);
        return std::nullopt;
    }
}

// A request that a server responded to with a 5xx status counts as run. An idempotent one may be
// sent to another server.
std::optional<http_response> request_handler::settle_response(request_attempt& attempt,
                                                              core::duration latency)
{
    routing::backend& server = *attempt.target.server;
    const core::time_point now = core::boot_clock_now();
    record_reported_load(attempt, gateway_.profile, now);
    gateway_.backend_connections.put_back(server, attempt.target.connection);
    response_room_ = std::move(attempt.result.room);
    if (attempt.result.response->result_int() < 500)
    {
        routing::on_response(gateway_.backends, server, latency, statistics_->latency.median, now);
        routing::record_latency(statistics_->latency, latency);
        request::apply(progress_, progress_event::answer);
        return std::move(attempt.result.response);
    }
    routing::on_failed(server, routing::failure_kind::error, now);
    request::apply(progress_, progress_event::attempt_lost);
    error_response_ = std::move(attempt.result.response);
    last_failure_reason_ = refusal_reason::unusable_answer;
    return std::nullopt;
}

void request_handler::settle_failure(request_attempt& attempt, core::time_point now)
{
    routing::on_failed(*attempt.target.server, failure_kind_of(attempt.result.outcome), now);
    request::apply(progress_, progress_event::attempt_lost);
    last_failure_reason_ = refusal_reason_of(attempt.result.outcome);
}

http_response request_handler::give_up(core::time_point now)
{
    const bool not_run = request::has_certainly_not_run(progress_);
    request::apply(progress_, progress_event::give_up);
    if (error_response_)
    {
        return finish_with_response(std::move(*error_response_));
    }
    if (not_run)
    {
        limits::refund(gateway_.accounts, account_, now);
        if (const auto pause = service_pause(now))
        {
            return refuse(
                {refusal_reason::no_server, routing::spread_retry_after(*pause, gateway_.random)});
        }
        const bool is_late = now >= deadline_;
        const bool is_stopping = !is_late && now > last_send_time();
        const auto reason = is_stopping     ? refusal_reason::stopping
                            : servers_full_ ? refusal_reason::overloaded
                            : is_late       ? refusal_reason::expired
                                            : refusal_reason::no_server;
        const core::duration pause =
            progress_.refusals > 0 ? rejected_retry_after : busy_retry_after;
        return refuse({reason, servers_full_
                                   ? refuse_for_capacity(gateway_, service_, priority_, now)
                                   : pause});
    }
    return refuse({.reason = now >= deadline_
                                 ? refusal_reason::deadline
                                 : last_failure_reason_.value_or(refusal_reason::server_lost)});
}

http_response request_handler::finish_with_response(http_response response)
{
    ++gateway_.counters.answered;
    remove_server_headers(response, gateway_.profile);
    response.version(11);
    ensure_framed(response, message_.method() == http::verb::head);
    log_outcome("answered", response.result_int());
    return response;
}

http_response request_handler::refuse(const request::refusal& refusal)
{
    ++gateway_.counters.refused.at(static_cast<std::size_t>(refusal.reason));
    log_outcome(request::to_string(refusal.reason), request::http_status(refusal.reason));
    return make_refusal_response(refusal, gateway_.profile, description_.id);
}

void request_handler::log_outcome(std::string_view outcome, unsigned status)
{
    const char* kind = outcome == "answered" ? "answered" : "not_answered";
    if (!gateway_.log.should_log(kind))
    {
        return;
    }
    for (const auto& attempt : attempts_)
    {
        if (!attempt->settled)
        {
            attempt_log_.push_back(
                describe_attempt(*attempt, arrived_, core::boot_clock_now() - attempt->sent_at));
        }
    }
    gateway_.log.write(
        "requests", kind,
        describe_outcome({.request_id = description_.id,
                          .outcome = outcome,
                          .status = status,
                          .host = route_ == nullptr ? description_.host : "",
                          .path = route_ == nullptr ? description_.path : "",
                          .version = decided_by_version_,
                          .configuration_age = configuration_age(gateway_, core::boot_clock_now()),
                          .account = account_,
                          .grant_source = grant_source_,
                          .service = service_,
                          .priority = priority_,
                          .admission = admission_,
                          .since_first_attempt = arrived_ - first_asked_at_,
                          .duration = core::boot_clock_now() - arrived_,
                          .attempts = std::move(attempt_log_)}));
}

} // namespace zinniaferry::net
