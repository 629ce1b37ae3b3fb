#include "stand_in/platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <optional>

namespace zinniaferry::stand_in
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

constexpr double max_watch_wait_ms = 60'000.0;

core::result<json::object> parse_object(const std::string& text, const char* file)
{
    json::error_code error;
    json::value document =
        json::parse(text, error, {}, {.allow_comments = true, .allow_trailing_commas = true});
    if (error || !document.is_object())
    {
        return boost::leaf::new_error(
            core::document_error{.file = file,
                                 .path = "$",
                                 .value = error ? error.message() : "another JSON type",
                                 .expected = "a JSON object"});
    }
    return std::move(document.get_object());
}

core::result<std::uint64_t> read_number(const json::object& object, const char* key,
                                        const char* file)
{
    const json::value* value = object.if_contains(key);
    json::error_code error;
    const auto number =
        value != nullptr ? value->to_number<std::uint64_t>(error) : std::uint64_t{0};
    if (value == nullptr || error)
    {
        return boost::leaf::new_error(
            core::document_error{.file = file,
                                 .path = std::string("$.") + key,
                                 .value = value ? json::serialize(*value) : "nothing",
                                 .expected = "an integer"});
    }
    return number;
}

void wake_watchers(platform_state& state)
{
    for (asio::steady_timer* timer : state.watch_timers)
    {
        timer->cancel();
    }
}

// Waits until a configuration is published, the mode changes or `end` is reached.
asio::awaitable<void> wait_for_change(platform_state& state, asio::steady_timer::time_point end)
{
    struct registered_timer
    {
        registered_timer(platform_state& state, asio::steady_timer timer)
            : state(state), timer(std::move(timer))
        {
            state.watch_timers.insert(&this->timer);
        }
        registered_timer(const registered_timer&) = delete;
        registered_timer& operator=(const registered_timer&) = delete;
        ~registered_timer() { state.watch_timers.erase(&timer); }

        platform_state& state;
        asio::steady_timer timer;
    };
    const auto executor = co_await asio::this_coro::executor;
    registered_timer watcher(state, asio::steady_timer(executor, end));
    co_await watcher.timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

http_response configuration_response(platform_state& state, const published_configuration& value,
                                     std::optional<double> after)
{
    http_response response = json_response(200, value.text);
    response.sent_bytes_counter = &state.bytes_out;
    if (after && *after == static_cast<double>(value.version))
    {
        ++state.not_modified;
        response.status = 304;
        response.body.clear();
    }
    response.headers.emplace_back("ETag", "\"" + std::to_string(value.version) + "\"");
    return response;
}

asio::awaitable<http_response> handle_read(platform_state& state, http_request request)
{
    using clock = std::chrono::steady_clock;
    ++state.calls;
    state.bytes_in += request.wire_bytes;
    const auto after = find_number(request.query, "after");
    const double wait_ms =
        after ? std::min(find_number(request.query, "wait_ms").value_or(0.0), max_watch_wait_ms)
              : 0.0;
    const auto request_time = clock::now();
    const auto wait_end =
        request_time + std::chrono::milliseconds(static_cast<std::int64_t>(wait_ms));
    while (true)
    {
        if (state.mode == platform_mode::down)
        {
            ++state.resets;
            http_response response{.reset_connection = true};
            co_return response;
        }
        const bool stale = state.mode == platform_mode::stale;
        const published_configuration& value =
            stale ? state.stale_configuration : state.configuration;
        const auto now = clock::now();
        const auto earliest_response =
            state.mode == platform_mode::slow ? request_time + state.response_delay : request_time;
        const bool version_differs = !after || *after != static_cast<double>(value.version);
        const auto respond_at =
            version_differs ? earliest_response : std::max(earliest_response, wait_end);
        if (now >= respond_at)
        {
            co_return configuration_response(state, value, after);
        }
        co_await wait_for_change(state, respond_at);
    }
}

http_response control_error(const std::string& detail)
{
    const json::object body{{"error", "bad_request"}, {"detail", detail}};
    return json_response(400, json::serialize(body));
}

http_response set_mode(platform_state& state, const http_request& request)
{
    const std::string mode = find_value(request.query, "mode");
    if (mode == "up")
    {
        state.mode = platform_mode::up;
    }
    else if (mode == "down")
    {
        state.mode = platform_mode::down;
    }
    else if (mode == "slow")
    {
        state.mode = platform_mode::slow;
        state.response_delay = std::chrono::milliseconds(
            static_cast<std::int64_t>(find_number(request.query, "delay_ms").value_or(2000.0)));
    }
    else if (mode == "stale")
    {
        published_configuration selected = state.configuration;
        if (request.query.contains("version"))
        {
            const auto version = find_number(request.query, "version").value_or(0.0);
            const auto found =
                state.configurations_by_version.find(static_cast<std::uint64_t>(version));
            if (found == state.configurations_by_version.end())
            {
                return control_error("no configuration with this version was published");
            }
            selected = {.version = found->first, .text = found->second};
        }
        state.stale_configuration = std::move(selected);
        state.mode = platform_mode::stale;
    }
    else
    {
        return control_error("unknown mode; expected up, down, stale or slow");
    }
    wake_watchers(state);
    return json_response(200, "{}");
}

http_response publish_from_request(platform_state& state, const http_request& request)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<http_response>
        {
            BOOST_LEAF_CHECK(publish_configuration(state, request.body));
            return json_response(200, "{}");
        },
        [](const core::document_error& error) { return control_error(core::to_string(error)); },
        [] { return control_error("unknown failure"); });
}

http_response handle_control(platform_state& state, const http_request& request)
{
    if (request.method == "PUT" && request.path == "/control/config")
    {
        return publish_from_request(state, request);
    }
    if (request.method == "POST" && request.path == "/control/mode")
    {
        return set_mode(state, request);
    }
    if (request.method == "GET" && request.path == "/control/counters")
    {
        const json::object body{{"calls", state.calls},
                                {"not_modified", state.not_modified},
                                {"bytes_in", state.bytes_in},
                                {"bytes_out", state.bytes_out},
                                {"resets", state.resets},
                                {"waiting", state.watch_timers.size()},
                                {"version", state.configuration.version}};
        return json_response(200, json::serialize(body));
    }
    return json_response(404, R"({"error": "not_found"})");
}

} // namespace

core::result<void> publish_configuration(platform_state& state, std::string text)
{
    BOOST_LEAF_AUTO(document, parse_object(text, "configuration"));
    BOOST_LEAF_AUTO(version, read_number(document, "version", "configuration"));
    state.configurations_by_version[version] = text;
    state.configuration = {.version = version, .text = std::move(text)};
    wake_watchers(state);
    return {};
}

http_handler make_platform_handler(platform_state& state)
{
    return [&state](http_request request) -> asio::awaitable<http_response>
    {
        if (request.method == "GET" && request.path == "/v1/config")
        {
            return handle_read(state, std::move(request));
        }
        return [](platform_state& state, http_request request) -> asio::awaitable<http_response>
        {
            co_return handle_control(state, request);
        }(state, std::move(request));
    };
}

} // namespace zinniaferry::stand_in
