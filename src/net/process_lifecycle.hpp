/// Start and stop of the daemon as a Boost.MSM state machine. Its states are fixed by the program,
/// so it uses a table that is checked at compile time instead of a state chart in a file.
#pragma once

#include <memory>

namespace zinniaferry::net
{

enum class process_state
{
    starting,   ///< No configuration in force yet, or hubs had no time to send an update.
    serving,    ///< Ready, and accepting requests.
    announcing, ///< Readiness is off; the platform's balancer may still send requests.
    finishing,  ///< Idle connections are closed; requests in flight finish.
    stopped     ///< The process is about to exit.
};

enum class process_event
{
    became_ready,          ///< A configuration is in force, and hubs were consulted.
    stop_requested,        ///< SIGTERM or SIGINT.
    announcement_finished, ///< The balancer has had time to notice that readiness is off.
    work_finished          ///< No connections of callers are left, or the grace period is over.
};

/// Returns the state's name, as in the state dump. Thread safe.
const char* to_string(process_state state);

/// Thread safety: one thread at a time.
class process_lifecycle
{
public:
    process_lifecycle();
    ~process_lifecycle();
    process_lifecycle(const process_lifecycle&) = delete;
    process_lifecycle& operator=(const process_lifecycle&) = delete;

    /// Applies an event; one without a transition from the state is ignored. Returns the new state.
    process_state apply(process_event event);
    process_state state() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace zinniaferry::net
