/// Settings of one daemon: its identity, its addresses and its secrets. Only the seeds and the stop
/// grace may change while it runs; everything else that may change is in the configuration.
#pragma once

#include "core/error.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::config
{

inline constexpr core::duration max_stop_grace = std::chrono::minutes(10);
/// In characters. Shorter secrets can be guessed.
inline constexpr std::size_t min_secret_length = 16;
inline constexpr std::size_t max_secret_length = 256; ///< Characters.
inline constexpr std::size_t max_seeds = 16;

enum class log_format
{
    text,
    json
};

/// Destination of log lines. There is no log file, because the VMs have no disks.
enum class log_sink
{
    standard_output,
    syslog
};

struct settings
{
    std::string vm;
    std::string data_centre;
    std::string region;
    /// IP address and port that callers connect to; with port 0 the system chooses the port.
    std::string listen;
    std::string admin_listen; ///< As `listen`, for operators and monitoring.
    std::string peer_listen;  ///< As `listen`, for the other daemons of the fleet.
    std::string platform;     ///< IP address and port of the configuration service.
    /// Peer addresses of some daemons, through which this one finds the others. They may be out of
    /// date; at most `max_seeds`.
    std::vector<std::string> seeds;
    std::string admin_credential; ///< Bearer credential of the admin listener.
    log_format format = log_format::json;
    log_sink sink = log_sink::standard_output;
    core::duration stop_grace = std::chrono::seconds(6); ///< From the signal to the exit.

    bool operator==(const settings&) const = default;
};

/// Returns the names of all fields that `read_settings` accepts. Thread safe.
std::span<const std::string_view> settings_fields();

/// Reads settings from JSON with comments. `file` only appears in errors. Error: document_error,
/// which never contains a secret. Thread safe.
core::result<settings> read_settings(std::string_view text, const std::string& file);

} // namespace zinniaferry::config
