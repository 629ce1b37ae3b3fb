#include "net/request_attempt.hpp"

namespace zinniaferry::net
{

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
