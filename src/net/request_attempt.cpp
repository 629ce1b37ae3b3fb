#include "net/request_attempt.hpp"

namespace zinniaferry::net
{

routing::failure_kind failure_kind_of(exchange_outcome outcome)
{
    switch (outcome)
    {
    case exchange_outcome::wrong_server:
        return routing::failure_kind::wrong_server;
    case exchange_outcome::timed_out:
        return routing::failure_kind::timeout;
    default:
        return routing::failure_kind::broken;
    }
}

void record_reported_load(const request_attempt& attempt, const http_profile& profile,
                          core::time_point now)
{
    const http_response& response = *attempt.result.response;
    if (const auto load =
            profile.parse_load(header_value(response.base(), profile.load_header), now))
    {
        routing::on_load_reading(*attempt.target.server, *load, core::duration::zero());
    }
}

request::refusal_reason refusal_reason_of(exchange_outcome outcome)
{
    switch (outcome)
    {
    case exchange_outcome::timed_out:
        return request::refusal_reason::deadline;
    case exchange_outcome::malformed:
        return request::refusal_reason::unusable_answer;
    default:
        return request::refusal_reason::server_lost;
    }
}

void cancel_attempt(request_attempt& attempt)
{
    if (attempt.settled)
    {
        return;
    }
    attempt.settled = true;
    boost::system::error_code ignored;
    attempt.target.connection->socket.close(ignored);
    if (attempt.finished)
    {
        routing::on_released(*attempt.target.server);
    }
}

boost::json::object describe_attempt(const request_attempt& attempt, core::time_point arrived,
                                     core::duration latency)
{
    const exchange_result& result = attempt.result;
    boost::json::object line = {{"server", attempt.target.server->listed.id},
                                {"sent_ms", core::to_milliseconds(attempt.sent_at - arrived)},
                                {"ms", core::to_milliseconds(latency)},
                                {"end", attempt.finished ? to_string(result.outcome) : "open"},
                                {"status", result.response ? result.response->result_int() : 0},
                                {"candidates", attempt.candidates}};
    if (attempt.expected > core::duration::zero())
    {
        line["expected_ms"] = core::to_milliseconds(attempt.expected);
    }
    if (attempt.reading)
    {
        const routing::load_reading& reading = *attempt.reading;
        line["running"] = reading.running;
        line["waiting"] = reading.waiting;
        line["slots"] = reading.slots;
        line["slowdown"] = reading.slowdown;
        line["reading_age_ms"] = core::to_milliseconds(attempt.sent_at - reading.received_at);
    }
    return line;
}

} // namespace zinniaferry::net
