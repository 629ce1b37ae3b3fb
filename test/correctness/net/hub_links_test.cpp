#include "net/hub_links.hpp"

#include "support/loopback.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;

/// A hub that grants three requests for each ask_message, after a delay.
class slow_hub
{
public:
    slow_hub(asio::io_context& io, core::duration delay)
        : io_(io), delay_(delay), acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(io_, serve(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    int asked = 0; ///< Requests for grants so far.

private:
    asio::awaitable<void> serve()
    {
        asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
        while (true)
        {
            std::array<unsigned char, fleet::frame_length_bytes> length{};
            co_await asio::async_read(socket, asio::buffer(length), asio::use_awaitable);
            std::string body(boost::endian::load_big_u32(length.data()), '\0');
            co_await asio::async_read(socket, asio::buffer(body), asio::use_awaitable);
            const fleet::hub_message message = fleet::decode_hub_message(body).value();
            if (const auto* ask = std::get_if<fleet::ask_message>(&message))
            {
                ++asked;
                asio::steady_timer timer(io_, delay_);
                co_await timer.async_wait(asio::use_awaitable);
                co_await answer(socket, ask->number);
            }
        }
    }

    static asio::awaitable<void> answer(asio::ip::tcp::socket& socket, std::uint64_t number)
    {
        const std::string frame =
            fleet::encode_frame(fleet::grant_message{.number = number, .requests = 3});
        co_await asio::async_write(socket, asio::buffer(frame), asio::use_awaitable);
    }

    asio::io_context& io_;
    core::duration delay_;
    asio::ip::tcp::acceptor acceptor_;
};

struct hub_links_test : testing::Test
{
    hub_links_test()
    {
        callbacks.on_fleet_view = [this](const fleet_view& view)
        {
            latest_view = view;
        };
        callbacks.on_late_grant = [this](const late_grant& late)
        {
            late_account = late.account;
            late_requests += late.granted.requests;
        };
        callbacks.selection_count = []
        {
            return std::uint64_t(0);
        };
    }

    /// Connects to the hubs and returns whether a primary hub was found.
    bool start(const std::vector<std::string>& hubs)
    {
        links = std::make_unique<hub_links>(io, fleet::member{"vm-1", "127.0.0.1:1"}, 1, replica,
                                            log, callbacks);
        links->set_seeds(hubs);
        asio::co_spawn(io, links->run(), asio::detached);
        return test::run_until(io, [&] { return latest_view.hub_reachable; });
    }

    /// Asks for one grant and returns whether it came in time.
    bool ask()
    {
        std::optional<bool> granted;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                const auto grant = co_await links->request_grant("school");
                granted = grant.has_value();
            },
            asio::detached);
        test::run_until(io, [&] { return granted.has_value(); });
        return granted.value_or(false);
    }

    asio::io_context io;
    fleet::replica replica;
    event_log log{{.enabled = false}};
    hub_link_callbacks callbacks;
    fleet_view latest_view;
    std::string late_account;
    std::uint32_t late_requests = 0;
    std::unique_ptr<hub_links> links;
};

// Guards against grants that the hub has taken from the account's pool and nobody uses: a hub that
// answers late emptied the pools and the fleet refused requests within the rate.
TEST_F(hub_links_test, a_late_grant_is_used_for_later_requests)
{
    slow_hub hub(io, 60ms);
    ASSERT_TRUE(start({hub.address()}));
    EXPECT_FALSE(ask());
    EXPECT_TRUE(test::run_until(io, [&] { return late_requests == 3; }));
    EXPECT_EQ(late_account, "school");
}

// Guards against a fleet that goes on asking a hub that is too slow to answer in time.
TEST_F(hub_links_test, a_hub_that_answers_late_is_replaced_by_the_next)
{
    slow_hub slow(io, 60ms);
    slow_hub quick(io, 0ms);
    ASSERT_TRUE(start({slow.address(), quick.address()}));
    bool granted = false;
    for (int i = 0; i < 50 && !granted; ++i)
    {
        granted = ask();
    }
    EXPECT_TRUE(granted);
    EXPECT_GE(slow.asked, 1);
    EXPECT_EQ(quick.asked, 1);
}

} // namespace
} // namespace zinniaferry::net
