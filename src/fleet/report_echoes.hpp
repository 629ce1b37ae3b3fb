/// Bounds the age of a hub's updates without comparing clocks. The subscriber numbers its reports,
/// and the hub repeats the number of the latest one in its updates: an update was sent after the
/// report that it repeats, however long it was on its way.
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

/// Reports on one connection to a hub.
struct report_echoes
{
    std::uint64_t last_number = 0;
    std::deque<sent_report> unanswered; ///< Oldest first; bounded.
    /// When the latest report was sent that the hub has repeated; at first, when it was subscribed
    /// to.
    core::time_point echoed_sent_at;
};

/// All functions: not thread safe for the same report_echoes.

/// Records that a report is sent. Returns its number.
std::uint64_t on_report_sent(report_echoes& echoes, core::time_point now);

/// Records an update of the hub that repeats `number`. A number that was not sent has no effect.
void on_echo(report_echoes& echoes, std::uint64_t number);

/// Returns the earliest time at which the hub can have sent its latest update.
core::time_point sent_after(const report_echoes& echoes);

} // namespace zinniaferry::fleet
