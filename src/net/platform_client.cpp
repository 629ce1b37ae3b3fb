#include "net/platform_client.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace zinniaferry::net
{

namespace asio = boost::asio;

namespace
{

namespace json = boost::json;

// The service holds values up to 1 MB; the rest is room for HTTP.
constexpr std::uint64_t max_value_bytes = (1U << 20U) + 64U * 1024U;

asio::awaitable<void> pause_for(asio::io_context& io, core::duration time)
{
    asio::steady_timer timer(io, std::chrono::duration_cast<std::chrono::nanoseconds>(time));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::int64_t to_ms(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string text_of(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

} // namespace

asio::awaitable<void> follow_configuration(node_host& host, platform_options options)
{
    http_client client(host.io(), options.address, max_value_bytes);
    node::decider& decider = host.decider();
    while (true)
    {
        const auto call = node::next_service_call(decider, core::elapsed_now());
        if (!call)
        {
            co_await pause_for(host.io(), node::tick_interval);
            continue;
        }
        const std::string target =
            fmt::format("/v1/config?after={}&wait_ms={}", call->after_version, to_ms(call->wait));
        const auto answer = co_await client.get(target, call->wait + options.call_timeout);
        const core::time_point now = core::elapsed_now();
        if (answer && answer->result_int() == 200)
        {
            host.run(node::service_replied(decider, answer->body(), now));
        }
        else if (answer && answer->result_int() == 304)
        {
            host.run(node::service_unchanged(decider, now));
        }
        else
        {
            host.run(node::service_failed(decider, now));
        }
    }
}

std::optional<std::vector<node::listed_vm>> parse_vm_list(std::string_view text)
{
    json::error_code error;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::value* list = object != nullptr ? object->if_contains("vms") : nullptr;
    if (list == nullptr || !list->is_array())
    {
        return std::nullopt;
    }
    std::vector<node::listed_vm> out;
    for (const json::value& entry : list->get_array())
    {
        if (!entry.is_object())
        {
            return std::nullopt;
        }
        const json::object& vm = entry.get_object();
        out.push_back({.name = text_of(vm, "name"),
                       .data_centre = text_of(vm, "data_centre"),
                       .peer_address = text_of(vm, "peer_address"),
                       .admin_address = text_of(vm, "admin_address"),
                       .leaving = text_of(vm, "state") == "leaving"});
    }
    return out;
}

asio::awaitable<void> follow_vm_list(node_host& host, platform_options options)
{
    http_client client(host.io(), options.address, max_value_bytes);
    std::uint64_t revision = 0;
    while (true)
    {
        const std::string target =
            fmt::format("/v1/vms?after={}&wait_ms={}", revision, to_ms(options.vm_list_wait));
        const auto answer =
            co_await client.get(target, options.vm_list_wait + options.call_timeout);
        if (answer && answer->result_int() == 200)
        {
            json::error_code error;
            const json::value document = json::parse(answer->body(), error);
            const auto list = parse_vm_list(answer->body());
            if (list)
            {
                revision = document.as_object().contains("revision")
                               ? document.at("revision").to_number<std::uint64_t>(error)
                               : 0;
                node::set_vm_list(host.decider(), *list, core::elapsed_now());
            }
        }
        // A pause after each answer also bounds the calls when the service ignores the wait.
        co_await pause_for(host.io(), options.vm_list_pause);
    }
}

} // namespace zinniaferry::net
