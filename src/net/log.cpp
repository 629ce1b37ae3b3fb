#include "net/log.hpp"

#include <boost/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/sinks/syslog_sink.h>

namespace zinniaferry::net
{

namespace
{

// The message as a JSON string; spdlog's own patterns do not escape quotes.
class json_message : public spdlog::custom_flag_formatter
{
public:
    void format(const spdlog::details::log_msg& message, const std::tm&,
                spdlog::memory_buf_t& out) override
    {
        const std::string text = boost::json::serialize(boost::json::string(
            boost::json::string_view(message.payload.data(), message.payload.size())));
        out.append(text.data(), text.data() + text.size());
    }
    std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return std::make_unique<json_message>();
    }
};

spdlog::level::level_enum to_spdlog(config::log_level level)
{
    switch (level)
    {
    case config::log_level::debug:
        return spdlog::level::debug;
    case config::log_level::info:
        return spdlog::level::info;
    case config::log_level::warning:
        return spdlog::level::warn;
    case config::log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

spdlog::sink_ptr make_sink(config::log_sink kind)
{
    if (kind == config::log_sink::syslog)
    {
        return std::make_shared<spdlog::sinks::syslog_sink_mt>("zinniaferry", LOG_PID, LOG_DAEMON,
                                                               true);
    }
    return std::make_shared<spdlog::sinks::stderr_color_sink_mt>();
}

spdlog::sink_ptr& shared_sink()
{
    static spdlog::sink_ptr sink = make_sink(config::log_sink::standard_error);
    return sink;
}

} // namespace

void configure_logs(config::log_level level, config::log_format format, config::log_sink sink)
{
    shared_sink() = make_sink(sink);
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    if (format == config::log_format::json)
    {
        formatter->add_flag<json_message>('*').set_pattern(
            R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","part":"%n","message":%*})");
    }
    else
    {
        formatter->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l [%n] %v");
    }
    // The registry gives its formatter to every logger that is registered later.
    spdlog::set_formatter(std::move(formatter));
    spdlog::set_level(to_spdlog(level));
}

std::shared_ptr<spdlog::logger> part_log(const char* part)
{
    if (auto existing = spdlog::get(part))
    {
        return existing;
    }
    auto logger = std::make_shared<spdlog::logger>(part, shared_sink());
    // Registers it and gives it the level set by configure_logs.
    spdlog::initialize_logger(logger);
    return logger;
}

} // namespace zinniaferry::net
