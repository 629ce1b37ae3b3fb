/// Checks that daemons keep to what backend servers say of themselves in their answers: that they
/// leave, or that they want a pause. Requests are counted as the stand-in servers received them;
/// the request records say through which daemon each one came.
#pragma once

#include "core/error.hpp"
#include "core/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::load
{

/// Time since the Unix epoch, by the common clock of the load generator and the stand-ins.
using unix_microseconds = std::chrono::microseconds;

/// A request that a caller sends later than this after a daemon has passed on an answer that says
/// leaving must not reach that server through that daemon.
inline constexpr core::duration leave_bound = std::chrono::seconds(2);
/// The time from a server's answer that asks for a pause until the pause binds the daemon.
inline constexpr core::duration pause_bound = std::chrono::milliseconds(500);
/// Requests that may reach a server through one daemon from `pause_bound` until the pause ends.
inline constexpr std::uint64_t max_requests_in_pause = 2;

/// A request as its caller recorded it.
struct caller_request
{
    std::string daemon; ///< Address of the daemon to which it was sent.
    unix_microseconds sent{};
    unix_microseconds ended{}; ///< For an answered request: when the daemon had passed it on.
    std::string answered_by;   ///< Id of the server whose answer the caller got, or empty.
};

/// A request as a server received it, and what its answer said.
struct received_request
{
    std::string caller_id;
    std::string server;
    std::int64_t lifetime = 1;
    unix_microseconds received{};
    unix_microseconds ended{};
    std::int64_t status = 0; ///< 0 without an answer.
    bool leaving = false;
    std::optional<core::duration> retry_after;
};

/// Everything read from the record files and exchange logs of a run.
struct exchange_history
{
    std::map<std::string, caller_request, std::less<>> requests; ///< By the caller's own id.
    std::vector<received_request> received;                      ///< Without health checks.
    std::uint64_t health_checks = 0;
    /// By daemon, the ends of its restarts and suspensions. They excuse it from all that servers
    /// said before.
    std::map<std::string, std::vector<unix_microseconds>, std::less<>> interruptions;
};

/// Counts of a check. The three fields from after_leaving on count violations.
struct statement_result
{
    std::uint64_t received = 0;
    std::uint64_t health_checks = 0;
    std::uint64_t leaving_passed_on = 0; ///< Answers with leaving that a caller got.
    std::uint64_t pauses = 0;            ///< Answers that asked for a pause.
    std::uint64_t after_leaving = 0;     ///< Requests sent after `leave_bound`.
    std::uint64_t in_pause = 0;          ///< Requests beyond `max_requests_in_pause`.
    std::uint64_t unattributed = 0;      ///< Received requests without a record.
    std::vector<std::string> examples;   ///< The first violations, at most 10, a line each.
};

/// Add one line of a record file, or of an exchange log, to the history. Error: document_error with
/// the path of the field. Not thread safe.
core::result<void> add_caller_request(exchange_history& history, std::string_view line,
                                      const std::string& file);
core::result<void> add_exchange(exchange_history& history, std::string_view line,
                                const std::string& file);

/// Checks the history and counts the violations by kind. Thread safe.
statement_result check_statements(const exchange_history& history);

/// Returns the sum of all violations. Thread safe.
std::uint64_t violation_count(const statement_result& result);

boost::json::object to_json(const statement_result& result);

} // namespace zinniaferry::load
