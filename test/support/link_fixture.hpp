/// Peer links on loopback sockets in one thread. Waits end by condition; a limit ends a run that
/// hangs.
#pragma once

#include "net/peer_link.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace zinniaferry::net::test
{

using namespace std::chrono_literals;

class link_fixture : public ::testing::Test
{
protected:
    struct node
    {
        std::vector<fleet::message> received;
        std::unique_ptr<peer_link> link;

        std::string address() const { return "127.0.0.1:" + std::to_string(link->port()); }
    };

    std::unique_ptr<node> make_node(const std::string& vm, std::uint64_t incarnation = 1,
                                    const std::string& secret = "secret",
                                    session_options session = {})
    {
        auto made = std::make_unique<node>();
        session.self = {vm, incarnation};
        session.secret = secret;
        made->link = std::make_unique<peer_link>(io.get_executor(),
                                                 peer_link_options{.session = session,
                                                                   .listen_address = "127.0.0.1:0",
                                                                   .first_backoff = 5ms,
                                                                   .backoff_limit = 20ms},
                                                 [raw = made.get()](const fleet::message& message)
                                                 { raw->received.push_back(message); });
        EXPECT_TRUE(made->link->listen());
        return made;
    }

    /// Runs handlers until the condition holds; returns false when it does not within 20 s.
    template <class Condition>
    bool run_until(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < limit)
        {
            io.restart();
            io.run_one_for(10ms);
        }
        return condition();
    }

    static std::uint64_t number_of(const fleet::message& message)
    {
        return std::get<fleet::config_request>(message.body).have_version;
    }

    static fleet::outgoing numbered(const std::string& to, std::uint64_t number)
    {
        return {to, fleet::config_request{number}};
    }

    boost::asio::io_context io{1};
};

} // namespace zinniaferry::net::test
