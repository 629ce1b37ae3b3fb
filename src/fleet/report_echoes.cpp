#include "fleet/report_echoes.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

/// A hub sends an update every 0.4 s; the rest is for the way and for a busy processor.
constexpr core::duration usual_echo_time = std::chrono::milliseconds(600);

} // namespace

std::uint64_t on_report_sent(report_echoes& echoes, core::time_point now)
{
    ++echoes.last_number;
    echoes.unanswered.push_back({echoes.last_number, now});
    return echoes.last_number;
}

void on_echo(report_echoes& echoes, std::uint64_t number)
{
    while (!echoes.unanswered.empty() && echoes.unanswered.front().number <= number)
    {
        echoes.unanswered.pop_front();
    }
}

core::duration path_delay(const report_echoes& echoes, core::time_point now)
{
    if (echoes.unanswered.empty())
    {
        return core::duration::zero();
    }
    return std::max(core::duration::zero(),
                    now - echoes.unanswered.front().sent_at - usual_echo_time);
}

} // namespace zinniaferry::fleet
