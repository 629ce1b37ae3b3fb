/// Structured log: one line per event, as JSON or as text for a terminal. The number of lines is
/// limited per kind and second. A background thread writes the lines, so callers never block.
#pragma once

#include "config/settings.hpp"
#include "core/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinniaferry::net
{

struct event_log_options
{
    std::string vm; ///< Written on every line.
    bool enabled = true;
    config::log_format format = config::log_format::json;
    config::log_sink sink = config::log_sink::standard_output;
    std::uint32_t max_lines_per_kind_per_second = 100; ///< Lines above it are suppressed.
};

/// Thread safety: one thread at a time.
class event_log
{
public:
    explicit event_log(event_log_options options);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Writes a line with the time, the VM, `part` (the component), `kind` and `fields`. A line
    /// above the limit is suppressed; the first line of that kind in a later second is preceded by
    /// the number of suppressed lines.
    void write(std::string_view part, std::string_view kind, const boost::json::object& fields);

    /// Returns whether a line of this kind would be written now, so that callers build its fields
    /// only then. Otherwise counts the line as suppressed.
    bool should_log(std::string_view kind);

    /// Returns the number of lines suppressed since the start, of all kinds.
    std::uint64_t suppressed_lines() const { return suppressed_lines_; }

private:
    /// Counts the lines of a kind in one second.
    struct kind_window
    {
        std::int64_t second = 0;      ///< Of the boot-time clock.
        std::uint32_t lines = 0;      ///< Written.
        std::uint64_t suppressed = 0; ///< Above the limit.
    };
    struct writer;

    kind_window& current_window(std::string_view kind);
    bool is_within_limit(kind_window& window);
    void write_line(const boost::json::object& line);

    event_log_options options_;
    std::unordered_map<std::string, kind_window> kinds_; ///< By kind.
    std::uint64_t suppressed_lines_ = 0;
    std::unique_ptr<writer> writer_;
};

} // namespace zinniaferry::net
