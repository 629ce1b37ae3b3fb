/// Structured log: one line for each decision, as JSON or as text for a terminal, with a bounded
/// number of lines for each kind and second. Writing never blocks the caller.
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
    std::string vm;
    bool enabled = true;
    config::log_format format = config::log_format::json;
    config::log_sink sink = config::log_sink::standard_output;
    std::uint32_t max_lines_per_kind_per_second = 100;
};

/// One thread at a time.
class event_log
{
public:
    explicit event_log(event_log_options options);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Writes a line with the time, `part` (the fixed prefix) and `kind`. A line beyond the bound
    /// is counted instead, and the count is written when the second is over.
    void write(std::string_view part, std::string_view kind, const boost::json::object& fields);

    /// Returns whether a line of this kind would be written now, so that its fields are gathered
    /// only then. Counts the line as left out when not.
    bool should_log(std::string_view kind);

    std::uint64_t suppressed_lines() const { return suppressed_lines_; }

private:
    struct kind_window
    {
        std::int64_t second = 0;
        std::uint32_t lines = 0;
        std::uint64_t suppressed = 0;
    };
    struct writer;

    kind_window& current_window(std::string_view kind);
    bool is_within_limit(kind_window& window);
    void write_line(const boost::json::object& line);

    event_log_options options_;
    std::unordered_map<std::string, kind_window> kinds_;
    std::uint64_t suppressed_lines_ = 0;
    std::unique_ptr<writer> writer_;
};

} // namespace zinniaferry::net
