#include "net/configuration_service.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

namespace asio = boost::asio;

// Runs a daemon with the address in `field` in use. Returns whether run_daemon fails with a
// listen_error that names it.
bool error_names_occupied_address(std::string config::settings::*field)
{
    asio::io_context io;
    asio::ip::tcp::acceptor occupied(io, {asio::ip::make_address("127.0.0.1"), 0});
    config::settings settings{.vm = "vm-1",
                              .data_centre = "dc",
                              .region = "r",
                              .listen = "127.0.0.1:0",
                              .admin_listen = "127.0.0.1:0",
                              .peer_listen = "127.0.0.1:0",
                              .platform = "127.0.0.1:1",
                              .admin_credential = "a-credential-of-the-test"};
    settings.*field = "127.0.0.1:" + std::to_string(occupied.local_endpoint().port());
    return boost::leaf::try_handle_all(
        [&]() -> core::result<bool>
        {
            const daemon_options options = make_daemon_options(settings, "test");
            BOOST_LEAF_CHECK(
                run_daemon(options, make_configuration_service_adapter(settings.platform)));
            return false;
        },
        [&](const listen_error& error)
        { return error.address == settings.*field && error.error_number == EADDRINUSE; },
        [] { return false; });
}

// Guards against a daemon that reports only "internal error" when one of its ports is in use.
TEST(daemon_error, an_address_in_use_is_named_in_the_error)
{
    EXPECT_TRUE(error_names_occupied_address(&config::settings::listen));
    EXPECT_TRUE(error_names_occupied_address(&config::settings::admin_listen));
    EXPECT_TRUE(error_names_occupied_address(&config::settings::peer_listen));
}

} // namespace
} // namespace zinniaferry::net
