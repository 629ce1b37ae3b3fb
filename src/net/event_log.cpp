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

/// Lines that wait for the writing thread; the oldest are dropped beyond that.
constexpr std::size_t queue_lines = 256;

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
        : pool(std::make_shared<spdlog::details::thread_pool>(queue_lines, 1)),
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

// Starts a new count each second, and tells what the last one left out.
event_log::kind_count& event_log::count_of(std::string_view kind)
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(core::boot_clock_now().time_since_epoch())
            .count();
    kind_count& count = kinds_[std::string(kind)];
    if (count.second == second)
    {
        return count;
    }
    if (count.left_out > 0)
    {
        emit({{"time", wall_seconds()},
              {"vm", options_.vm},
              {"part", "log"},
              {"kind", "left_out"},
              {"of", kind},
              {"lines", count.left_out}});
    }
    count = {.second = second};
    return count;
}

bool event_log::is_open(std::string_view kind)
{
    if (!options_.enabled)
    {
        return false;
    }
    return has_room(count_of(kind));
}

// Counts the line that is left out when there is none.
bool event_log::has_room(kind_count& count)
{
    if (count.lines < options_.lines_per_kind_and_s)
    {
        return true;
    }
    ++count.left_out;
    ++left_out_;
    return false;
}

void event_log::write(std::string_view part, std::string_view kind,
                      const boost::json::object& fields)
{
    if (!options_.enabled)
    {
        return;
    }
    kind_count& count = count_of(kind);
    if (!has_room(count))
    {
        return;
    }
    ++count.lines;
    boost::json::object line = {
        {"time", wall_seconds()}, {"vm", options_.vm}, {"part", part}, {"kind", kind}};
    for (const auto& [name, value] : fields)
    {
        line[name] = value;
    }
    emit(line);
}

void event_log::emit(const boost::json::object& line)
{
    const bool text = options_.format == config::log_format::text;
    writer_->logger->info("{}", text ? print_text(line) : boost::json::serialize(line));
}

} // namespace zinniaferry::net
