/// Budget of the memory that the bodies of requests and responses take in one process. It answers
/// crowds of callers that send or read large bodies at once, slowly or never to their end: a body
/// is read only when the budget has room for all of it, so that those being read can become
/// complete, and callers that stall or are behind their time lose their place to the others.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>

namespace zinniaferry::limits
{

/// Limits of a process, in bytes.
struct body_budget_options
{
    std::uint64_t bytes = std::numeric_limits<std::uint64_t>::max(); ///< Of all bodies.
    /// Part of `bytes` that only bodies of up to `small_bytes` get, so that a crowd with large ones
    /// does not keep ordinary requests out.
    std::uint64_t small_reserve = 0;
    std::uint64_t small_bytes = 64ULL * 1024;
    /// Of a large body that is the only one, and the small ones beside it; may be above `bytes`.
    std::uint64_t single_bytes = std::numeric_limits<std::uint64_t>::max();
    /// Time without a byte after which a caller may lose its place. Above the round trips and the
    /// retransmissions of a working network.
    core::duration stall_time = std::chrono::milliseconds(500);
};

/// Identifies a body in a budget.
using body_id = std::uint64_t;

/// A body, and the caller that sends or reads it.
struct body_entry
{
    std::uint64_t reserved = 0; ///< Bytes.
    /// Whether the body depends on a caller, whose connection may be closed.
    bool in_transfer = false;
    std::uint64_t transferred = 0; ///< Bytes.
    std::uint64_t expected = 0;    ///< Bytes of the transfer; 0 if not known.
    core::time_point began_at;
    core::time_point progress_at; ///< Last time that bytes moved.
    core::time_point complete_by; ///< Time limit of the transfer.
};

/// Bodies of one process.
struct body_budget
{
    body_budget_options options;
    std::uint64_t held = 0;       ///< Bytes reserved.
    std::uint64_t held_large = 0; ///< Of these for bodies above `small_bytes`.
    body_id last_id = 0;
    std::unordered_map<body_id, body_entry> entries;
};

enum class reservation
{
    granted,
    wait,     ///< There is no room now.
    too_large ///< There never is.
};

/// Returns the options of a process that may take `memory_bytes` in total; unlimited for 0.
body_budget_options make_body_budget_options(std::uint64_t memory_bytes);

/// Not thread safe: calls on one body_budget must not run concurrently. Functions with an id have
/// the precondition that it is in the budget.

/// Adds a body without a reservation.
body_id add_body(body_budget& budget);

/// Reserves `bytes` for the body, its present reservation included; never reduces it.
reservation reserve(body_budget& budget, body_id id, std::uint64_t bytes);

/// Records that a caller begins to send or read the body. `expected` is 0 if not known.
void begin_transfer(body_budget& budget, body_id id, std::uint64_t expected, core::time_point now,
                    core::time_point complete_by);

/// Records that `transferred` bytes have moved since the transfer began.
void on_progress(body_budget& budget, body_id id, std::uint64_t transferred, core::time_point now);

/// Records that the body depends on no caller any more, or that its transfer waits for room.
void end_transfer(body_budget& budget, body_id id);

/// Removes the body.
void release(body_budget& budget, body_id id);

/// Returns the body whose caller is to lose its place to one that waits for `bytes`: the one that
/// has stalled for the longest, or else the one furthest behind the rate at which it would be
/// complete in time. Small bodies make way for large ones only if they have stalled and take the
/// room that is missing. Nothing if all that would help make progress.
std::optional<body_id> slowest_transfer(const body_budget& budget, std::uint64_t bytes,
                                        core::time_point now);

} // namespace zinniaferry::limits
