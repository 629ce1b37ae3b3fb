#include "net/request_attempt.hpp"

namespace zinniaferry::net
{

boost::json::object describe_attempt(const request_attempt& attempt, core::time_point arrived,
                                     core::duration latency)
{
    const exchange_result& result = attempt.result;
    boost::json::object line = {{"server", attempt.at.server->listed.id},
                                {"sent_ms", core::to_milliseconds(attempt.started - arrived)},
                                {"ms", core::to_milliseconds(latency)},
                                {"end", attempt.ended ? to_string(result.end) : "open"},
                                {"status", result.answer ? result.answer->result_int() : 0},
                                {"candidates", attempt.candidates}};
    if (attempt.reading)
    {
        const routing::load_reading& reading = *attempt.reading;
        line["running"] = reading.running;
        line["waiting"] = reading.waiting;
        line["slots"] = reading.slots;
        line["slowdown"] = reading.slowdown;
        line["reading_age_ms"] = core::to_milliseconds(attempt.started - reading.received_at);
    }
    return line;
}

} // namespace zinniaferry::net
