/// Logs of the daemon: one logger per part, whose name is the fixed prefix of its lines.
#pragma once

#include "config/settings.hpp"

#include <spdlog/spdlog.h>

#include <memory>

namespace zinniaferry::net
{

/// Sets the level, the format (text, or JSON lines) and the sink of all parts. To be called once,
/// before the first call of part_log.
void configure_logs(config::log_level level, config::log_format format, config::log_sink sink);

/// Returns the logger of a part such as "peers". Thread safe.
std::shared_ptr<spdlog::logger> part_log(const char* part);

} // namespace zinniaferry::net
