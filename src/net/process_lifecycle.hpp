/// Start and stop of the daemon as a Boost.MSM state machine: its states are fixed by the
/// program, so a table that is checked at compile time fits better than a chart in a file.
#pragma once

#include <memory>

namespace zinniaferry::net
{

enum class process_state
{
    starting, ///< No configuration in force yet, or peers not asked yet.
    serving,
    announcing, ///< Readiness is off; the platform's balancer still sends requests.
    finishing,  ///< No new requests; those in flight finish.
    stopped
};

enum class process_event
{
    became_ready,
    stop_requested,
    announcement_finished,
    work_finished
};

/// Returns the state's name. Thread safe.
const char* to_string(process_state state);

/// One thread at a time.
class process_lifecycle
{
public:
    process_lifecycle();
    ~process_lifecycle();
    process_lifecycle(const process_lifecycle&) = delete;
    process_lifecycle& operator=(const process_lifecycle&) = delete;

    /// Applies an event; an event that does not fit the state is ignored. Returns the new state.
    process_state apply(process_event event);
    process_state state() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace zinniaferry::net
