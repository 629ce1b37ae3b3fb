#include "net/configuration_service.hpp"

#include "config/reader.hpp"
#include "net/await_error.hpp"
#include "net/http_client.hpp"

#include <boost/asio/steady_timer.hpp>
#include <spdlog/fmt/fmt.h>

namespace zinniaferry::net
{

namespace
{

constexpr const char* document_key = "configuration";
constexpr core::duration watch_wait = std::chrono::milliseconds(1000);
constexpr core::duration answer_time = std::chrono::milliseconds(1000);
constexpr core::duration pause_time = std::chrono::milliseconds(200);
/// The service holds values up to 1 MB; the rest is room for HTTP.
constexpr std::uint64_t max_answer_size = config::max_document_bytes + 64UL * 1024UL;

struct document
{
    std::shared_ptr<const config::configuration> config; ///< Null when it cannot be read.
    std::string error;
};

document read_document(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<document>
        {
            BOOST_LEAF_AUTO(config, config::read_configuration(text, document_key));
            return document{std::make_shared<const config::configuration>(std::move(config)), {}};
        },
        [](const core::document_error& error) {
            return document{nullptr, to_string(error)};
        },
        [] {
            return document{nullptr, "an error without a type"};
        });
}

published_change decode(const fleet::entry_change& change)
{
    if (change.key != document_key || !change.value)
    {
        return std::monostate();
    }
    auto read = read_document(*change.value);
    return read.config ? published_change(std::move(read.config)) : unreadable_entry();
}

asio::awaitable<void> pause(asio::io_context& io)
{
    asio::steady_timer timer(io, pause_time);
    boost::system::error_code ignored;
    co_await timer.async_wait(redirect_error_to(ignored));
}

// The replica's revision is the version, so a stale answer changes nothing.
void take_document(follow_context& context, const std::string& text, core::time_point asked)
{
    const document read = read_document(text);
    if (!read.config)
    {
        context.log.write("configuration", "refused", {{"error", read.error}});
        return;
    }
    context.replica.complete = true;
    context.replica.current_at = std::max(context.replica.current_at, asked);
    const std::uint64_t version = read.config->version;
    context.changed(
        fleet::apply_changes(context.replica, {{document_key, text, version}}, version));
}

asio::awaitable<void> follow(follow_context context, std::string address,
                             std::shared_ptr<std::uint64_t> calls)
{
    http_client client(context.io, address, max_answer_size);
    bool reachable = true;
    while (true)
    {
        if (!context.wanted() && context.replica.complete)
        {
            co_await pause(context.io);
            continue;
        }
        const core::time_point asked = core::elapsed_now();
        ++*calls;
        std::string target =
            fmt::format("/v1/config?after={}&wait_ms={}", context.replica.revision,
                        std::chrono::duration_cast<std::chrono::milliseconds>(watch_wait).count());
        const auto answer = co_await client.get(std::move(target), watch_wait + answer_time);
        const unsigned status = answer ? answer->result_int() : 0;
        const bool good = status == 200 || status == 304;
        if (good != reachable)
        {
            reachable = good;
            context.log.write("platform", good ? "regained" : "lost", {{"status", status}});
        }
        if (status == 200)
        {
            take_document(context, answer->body(), asked);
        }
        else if (status == 304)
        {
            context.replica.current_at = std::max(context.replica.current_at, asked);
        }
        else
        {
            co_await pause(context.io);
        }
    }
}

changeable_settings changeable(const config::settings& settings)
{
    return {.seeds = settings.seeds, .stop_grace = settings.stop_grace};
}

} // namespace

platform_adapter make_configuration_service_adapter(const std::string& address)
{
    const auto calls = std::make_shared<std::uint64_t>(0);
    return {.follow = [address, calls](follow_context context)
            { return follow(std::move(context), address, calls); },
            .decode = decode,
            .calls =
                [calls]
            {
                return *calls;
            }};
}

daemon_options make_daemon_options(const config::settings& settings, const std::string& file)
{
    daemon_options out;
    out.vm = settings.vm;
    out.data_centre = settings.data_centre;
    out.region = settings.region;
    out.caller_address = settings.listen;
    out.peer_address = settings.peer_listen;
    out.admin_address = settings.admin_listen;
    out.admin_credential = settings.admin_credential;
    out.log = {.vm = settings.vm, .format = settings.format, .sink = settings.sink};
    out.settings = changeable(settings);
    out.reload = [file]() -> core::result<changeable_settings>
    {
        BOOST_LEAF_AUTO(text, config::read_text_file(file));
        BOOST_LEAF_AUTO(read, config::read_settings(text, file));
        return changeable(read);
    };
    return out;
}

} // namespace zinniaferry::net
