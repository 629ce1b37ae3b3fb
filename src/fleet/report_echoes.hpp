/// Measures how long messages take between a subscriber and a hub. The subscriber numbers its
/// reports and the hub repeats the latest number in its updates, so that an update that waited in a
/// full link shows its delay without a comparison of clocks.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <deque>

namespace zinniaferry::fleet
{

/// A report that was sent to a hub.
struct sent_report
{
    std::uint64_t number = 0;
    core::time_point sent_at;
};

/// Reports on one connection to a hub. Number 0 stands for the hello message.
struct report_echoes
{
    std::uint64_t last_number = 0;
    std::deque<sent_report> unanswered; ///< Oldest first.
};

/// All functions: not thread safe for the same report_echoes.

/// Records that a report is sent. Returns its number.
std::uint64_t on_report_sent(report_echoes& echoes, core::time_point now);

/// Records an update of the hub that repeats `number`. Greater numbers than were sent have no
/// effect beyond that of the last one.
void on_echo(report_echoes& echoes, std::uint64_t number);

/// Returns by how much longer than usual the latest update may have been on its way: the time since
/// the oldest report was sent that the hub's updates do not repeat, less the time in which a hub
/// usually repeats one.
core::duration path_delay(const report_echoes& echoes, core::time_point now);

} // namespace zinniaferry::fleet
