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
/// How long the service may hold a request while there is no newer version.
constexpr core::duration long_poll_wait = std::chrono::milliseconds(1000);
/// Time for the response beyond `long_poll_wait`.
constexpr core::duration response_allowance = std::chrono::milliseconds(1000);
/// A configuration that is known to have been in force this long ago counts as current. Two long
/// polls may pass until a daemon that follows a hub hears of it.
constexpr core::duration configuration_apply_time = std::chrono::seconds(3);
/// Delay after a failed request, and between checks of whether to follow the service.
constexpr core::duration retry_delay = std::chrono::milliseconds(200);
/// The service stores values of up to 1 MB; the rest is for HTTP headers.
constexpr std::uint64_t max_response_bytes = config::max_document_bytes + 64UL * 1024UL;

struct parsed_document
{
    std::shared_ptr<const config::configuration> config; ///< Null for an invalid document.
    std::string error;                                   ///< Why it is invalid.
};

parsed_document read_document(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<parsed_document>
        {
            BOOST_LEAF_AUTO(config, config::read_configuration(text, document_key));
            return parsed_document{std::make_shared<const config::configuration>(std::move(config)),
                                   {}};
        },
        [](const core::document_error& error) {
            return parsed_document{nullptr, to_string(error)};
        },
        []
        {
            return parsed_document{
                nullptr, "internal error: unexpected error while reading the configuration"};
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
    asio::steady_timer timer(io, retry_delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(redirect_error_to(ignored));
}

// The replica's revision is the configuration's version, so a stale response changes nothing.
void apply_document(follow_context& context, const std::string& text, core::time_point requested_at)
{
    const parsed_document read = read_document(text);
    if (!read.config)
    {
        context.log.write("configuration", "refused", {{"error", read.error}});
        return;
    }
    context.replica.complete = true;
    context.replica.current_as_of = std::max(context.replica.current_as_of, requested_at);
    const std::uint64_t version = read.config->version;
    context.on_changes(
        fleet::apply_changes(context.replica, {{document_key, text, version}}, version));
}

asio::awaitable<void> follow(follow_context context, std::string address,
                             std::shared_ptr<std::uint64_t> call_count)
{
    http_client client(context.io, address, max_response_bytes);
    bool reachable = true;
    while (true)
    {
        if (!context.must_follow())
        {
            co_await pause(context.io);
            continue;
        }
        const core::time_point requested_at = core::boot_clock_now();
        ++*call_count;
        std::string target = fmt::format(
            "/v1/config?after={}&wait_ms={}", context.replica.revision,
            std::chrono::duration_cast<std::chrono::milliseconds>(long_poll_wait).count());
        const auto response =
            co_await client.get(std::move(target), long_poll_wait + response_allowance);
        const unsigned status = response ? response->result_int() : 0;
        const bool is_successful = status == 200 || status == 304;
        if (is_successful != reachable)
        {
            reachable = is_successful;
            context.log.write("platform", is_successful ? "regained" : "lost",
                              {{"status", status}});
        }
        if (status == 200)
        {
            apply_document(context, response->body(), requested_at);
        }
        else if (status == 304)
        {
            // The service answers so at the end of the wait.
            context.replica.current_as_of =
                std::max(context.replica.current_as_of,
                         fleet::long_poll_current_as_of(
                             {.requested_at = requested_at, .max_wait = long_poll_wait},
                             core::boot_clock_now(), false));
            context.on_changes({});
        }
        else
        {
            co_await pause(context.io);
        }
    }
}

reloadable_settings reloadable_from(const config::settings& settings)
{
    return {.seeds = settings.seeds,
            .bounds = {.configuration_apply_time = configuration_apply_time},
            .stop_grace = settings.stop_grace};
}

} // namespace

platform_adapter make_configuration_service_adapter(const std::string& address)
{
    const auto call_count = std::make_shared<std::uint64_t>(0);
    return {.follow = [address, call_count](follow_context context)
            { return follow(std::move(context), address, call_count); },
            .decode = decode,
            .call_count =
                [call_count]
            {
                return *call_count;
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
    out.settings = reloadable_from(settings);
    out.reload = [file]() -> core::result<reloadable_settings>
    {
        BOOST_LEAF_AUTO(text, config::read_text_file(file));
        BOOST_LEAF_AUTO(read, config::read_settings(text, file));
        return reloadable_from(read);
    };
    return out;
}

} // namespace zinniaferry::net
