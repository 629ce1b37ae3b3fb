#include "net/event_log.hpp"

#include <boost/json/serialize.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/sinks/syslog_sink.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace zinniaferry::net
{

namespace
{

/// Capacity of the queue to the writer thread; when it is full, the oldest line is dropped.
constexpr std::size_t max_queued_lines = 256;

double wall_seconds()
{
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

spdlog::sink_ptr make_sink(config::log_sink kind)
{
    if (kind == config::log_sink::syslog)
    {
        return std::make_shared<spdlog::sinks::syslog_sink_mt>("zinniaferry", LOG_PID, LOG_DAEMON,
                                                               false);
    }
    return std::make_shared<spdlog::sinks::stdout_sink_mt>();
}

std::string print_text(const boost::json::object& line)
{
    std::string out;
    for (const auto& [name, value] : line)
    {
        out += out.empty() ? "" : " ";
        out.append(name.data(), name.size());
        out += '=';
        out += boost::json::serialize(value);
    }
    return out;
}

} // namespace

struct event_log::writer
{
    explicit writer(config::log_sink sink)
        : pool(std::make_shared<spdlog::details::thread_pool>(max_queued_lines, 1)),
          logger(std::make_shared<spdlog::async_logger>(
              "events", make_sink(sink), pool, spdlog::async_overflow_policy::overrun_oldest))
    {
        logger->set_pattern("%v");
        logger->flush_on(spdlog::level::info);
    }

    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
};

event_log::event_log(event_log_options options) : options_(std::move(options))
{
    if (options_.enabled)
    {
        writer_ = std::make_unique<writer>(options_.sink);
    }
}

event_log::~event_log() = default;

// Returns the count of the current second. When a new second begins, first writes how many lines of
// this kind were suppressed in the last one.
event_log::kind_window& event_log::current_window(std::string_view kind)
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(core::boot_clock_now().time_since_epoch())
            .count();
    kind_window& window = kinds_[std::string(kind)];
    if (window.second == second)
    {
        return window;
    }
    if (window.suppressed > 0)
    {
        write_line({{"time", wall_seconds()},
                    {"vm", options_.vm},
                    {"part", "log"},
                    {"kind", "left_out"},
                    {"of", kind},
                    {"lines", window.suppressed}});
    }
    window = {.second = second};
    return window;
}

bool event_log::should_log(std::string_view kind)
{
    if (!options_.enabled)
    {
        return false;
    }
    return is_within_limit(current_window(kind));
}

// Returns whether another line may be written in this second; if not, counts it as suppressed.
bool event_log::is_within_limit(kind_window& window)
{
    if (window.lines < options_.max_lines_per_kind_per_second)
    {
        return true;
    }
    ++window.suppressed;
    ++suppressed_lines_;
    return false;
}

void event_log::write(std::string_view part, std::string_view kind,
                      const boost::json::object& fields)
{
    if (!options_.enabled)
    {
        return;
    }
    kind_window& window = current_window(kind);
    if (!is_within_limit(window))
    {
        return;
    }
    ++window.lines;
    boost::json::object line = {
        {"time", wall_seconds()}, {"vm", options_.vm}, {"part", part}, {"kind", kind}};
    for (const auto& [name, value] : fields)
    {
        line[name] = value;
    }
    write_line(line);
}

void event_log::write_line(const boost::json::object& line)
{
    const bool text = options_.format == config::log_format::text;
    writer_->logger->info("{}", text ? print_text(line) : boost::json::serialize(line));
}

} // namespace zinniaferry::net
