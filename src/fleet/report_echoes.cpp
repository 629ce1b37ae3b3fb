#include "fleet/report_echoes.hpp"

namespace zinniaferry::fleet
{

namespace
{

/// A hub that repeats none of so many reports is silent or of a version that does not repeat them.
constexpr std::size_t max_unanswered = 64;

} // namespace

std::uint64_t on_report_sent(report_echoes& echoes, core::time_point now)
{
    ++echoes.last_number;
    echoes.unanswered.push_back({echoes.last_number, now});
    if (echoes.unanswered.size() > max_unanswered)
    {
        echoes.unanswered.pop_front();
    }
    return echoes.last_number;
}

void on_echo(report_echoes& echoes, std::uint64_t number)
{
    if (number > echoes.last_number)
    {
        return;
    }
    while (!echoes.unanswered.empty() && echoes.unanswered.front().number <= number)
    {
        echoes.echoed_sent_at = echoes.unanswered.front().sent_at;
        echoes.unanswered.pop_front();
    }
}

core::time_point sent_after(const report_echoes& echoes)
{
    return echoes.echoed_sent_at;
}

} // namespace zinniaferry::fleet
