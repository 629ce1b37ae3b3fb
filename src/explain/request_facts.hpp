/// Joins the log line of a request with the lines of all daemons that tell what decided on it.
#pragma once

#include "explain/log_reader.hpp"

namespace zinniaferry::explain
{

/// One attempt of a request at a backend server.
struct attempt_facts
{
    std::string server;
    std::string end; ///< As logged: "answered", "not_run", "wrong_server", "open" and so on.
    std::uint64_t status = 0;       ///< HTTP; 0 without a response.
    core::duration sent_after{};    ///< Since the request arrived.
    core::duration duration{};      ///< Until the response, the failure or the request's end.
    std::optional<double> slowdown; ///< On which the server was selected, as are the next four.
    std::optional<double> running;
    std::optional<double> waiting;
    std::optional<double> slots;
    std::optional<core::duration> reading_age;
    const log_line* leaving = nullptr; ///< First line of any VM that the server leaves or is gone.
    const log_line* failed = nullptr;  ///< First line of any VM that the server is unusable.
};

/// What is known about a request that ended at a VM. The pointers are into the log lines.
struct request_facts
{
    const log_line* ended = nullptr; ///< The request's own line; never null.
    wall_time arrived_at;
    core::duration duration{};
    std::string outcome;
    std::uint64_t status = 0;  ///< HTTP; 0 if no response was written.
    std::uint64_t version = 0; ///< Of the configuration that decided; 0 if not known.
    std::optional<core::duration> configuration_age;
    std::string account;
    std::string service;
    std::string rate_decided_by; ///< "hub", "standalone" or empty.
    std::string host;
    std::string path;
    std::vector<attempt_facts> attempts; ///< In the order of the line.

    /// What the VM had logged last when the request ended, since its last start.
    const log_line* started = nullptr;
    const log_line* ready = nullptr;
    const log_line* stopping = nullptr;
    const log_line* in_force = nullptr;
    const log_line* hub = nullptr;          ///< Line hub_chosen.
    const log_line* late_hub = nullptr;     ///< A hub's updates were late, also if logged later.
    const log_line* next_version = nullptr; ///< First version in force after the request.

    /// Of the VM itself, else of another one: the platform was lost and not regained.
    const log_line* platform_lost = nullptr;
    /// First line of any VM with a newer configuration in force when the request ended.
    const log_line* newer_version = nullptr;
    /// Lines of the VM, shortly before the request ended, that a server of its service or a data
    /// centre is not available.
    std::vector<const log_line*> unavailable;
    /// All lines that tell about the request, in order.
    std::vector<const log_line*> evidence;
};

/// Returns the facts of each line of the request, in order; none if there is no line. The result
/// refers to `log`. Precondition: the lines are sorted and `request_id` is the one they were read
/// with. Thread safe.
std::vector<request_facts> join_request(const log_lines& log, std::string_view request_id);

/// Returns whether the line says that a server is leaving or gone. Thread safe.
bool is_leaving_line(const log_line& line);

/// Returns whether the line is of this part and kind. Thread safe.
bool is_event(const log_line& line, std::string_view part, std::string_view kind);

} // namespace zinniaferry::explain
