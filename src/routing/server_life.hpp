/// Life cycle of a backend server by `charts/backend_server.json`.
#pragma once

namespace zinniaferry::routing
{

/// States of the chart.
enum class server_state
{
    cold,
    warming,
    serving,
    suspect,
    draining,
    gone
};

/// Events of the chart.
enum class server_event
{
    states_serving,
    states_cold,
    states_draining,
    warmed,
    connection_ended,
    latency_jump,
    errors,
    probe_passed,
    leave,
    removed,
    listed
};

/// Returns the state after the event. Thread safe.
server_state next_state(server_state state, server_event event);

/// Returns the chart's name of the state. Thread safe.
const char* to_string(server_state state);

} // namespace zinniaferry::routing
