#include "fleet/codec.hpp"
#include "support/link_fixture.hpp"

namespace zinniaferry::net::test
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using peer_link_error = link_fixture;

/// A client that speaks the protocol by hand, so that it can break it. The link runs in the same
/// thread, so reads poll.
class raw_client
{
public:
    raw_client(asio::io_context& io, std::uint16_t port) : m_socket(io)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
        m_socket.non_blocking(true);
    }

    void write(const std::string& bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// Reads what has come; returns false once the connection is closed.
    bool poll()
    {
        char buffer[4096];
        boost::system::error_code error;
        const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
        received.append(buffer, size);
        return !error || error == asio::error::would_block;
    }

    std::string received;

private:
    tcp::socket m_socket;
};

const hello client_hello{{"x", 9}, {}};

// Performs the handshake and returns the stream of frames that the client sends.
frame_stream prove(raw_client& client, const std::string& secret)
{
    const std::string own = write_hello(client_hello);
    const std::string server = client.received.substr(0, client.received.size() - proof_size);
    const core::digest proof = make_proof(secret, peer_role::client, own, server);
    client.write(std::string(proof.begin(), proof.end()));
    return {make_frame_key(secret, peer_role::client, own, server)};
}

constexpr std::size_t server_answer = hello_prefix_size + 1 + hello_suffix_size + proof_size;

// Guards against a process that does not know the fleet secret, on either side.
TEST_F(peer_link_error, other_secret_is_refused)
{
    const auto a = make_node("a");
    const auto b = make_node("b", 1, "other secret");
    a->link->set_peers({{"b", b->address()}});
    b->link->set_peers({{"a", a->address()}});
    a->link->send(numbered("b", 1));
    ASSERT_TRUE(run_until(
        [&]
        { return a->link->total().frames_refused >= 2 && b->link->total().frames_refused >= 2; }));
    EXPECT_TRUE(a->link->connected().empty());
    EXPECT_TRUE(b->link->connected().empty());
    EXPECT_TRUE(b->received.empty());
}

// Guards against a server that accepts a forged proof.
TEST_F(peer_link_error, forged_proof_closes_the_connection)
{
    const auto a = make_node("a");
    raw_client client(io, a->link->port());
    client.write(write_hello(client_hello));
    ASSERT_TRUE(run_until(
        [&]
        {
            client.poll();
            return client.received.size() == server_answer;
        }));
    prove(client, "guess");
    EXPECT_TRUE(run_until([&] { return !client.poll(); }));
    EXPECT_TRUE(a->link->connected().empty());
    EXPECT_EQ(a->link->total().frames_refused, 1U);
}

class peer_link_hostile_frame : public link_fixture
{
protected:
    /// Connects with the right secret, sends what `make` builds, and expects a closed connection.
    template <class Make>
    void expect_closed_after(Make make)
    {
        const auto a = make_node("a");
        raw_client client(io, a->link->port());
        client.write(write_hello(client_hello));
        ASSERT_TRUE(run_until(
            [&]
            {
                client.poll();
                return client.received.size() == server_answer;
            }));
        frame_stream stream = prove(client, "secret");
        ASSERT_TRUE(run_until([&] { return !a->link->connected().empty(); }));
        const std::string valid = fleet_bytes({"x", 9});
        client.write(seal_frame(stream, valid));
        ASSERT_TRUE(run_until([&] { return a->received.size() == 1; }));
        client.write(make(stream));
        EXPECT_TRUE(run_until([&] { return !client.poll(); }));
        EXPECT_EQ(a->received.size(), 1U);
        EXPECT_EQ(a->link->total().frames_refused, 1U);
        EXPECT_TRUE(a->link->connected().empty());
    }

    static std::string fleet_bytes(const core::process_id& from)
    {
        return fleet::encode({from, fleet::config_request{1}}).value();
    }
};

// Guards against memory taken for a frame beyond the bound.
TEST_F(peer_link_hostile_frame, oversized_frame_closes)
{
    expect_closed_after([](frame_stream&)
                        { return "\x7F" + std::string(frame_header_size - 1, 'x'); });
}

// Guards against a frame that was changed on the way.
TEST_F(peer_link_hostile_frame, wrong_mac_closes)
{
    expect_closed_after(
        [](frame_stream& stream)
        {
            std::string frame = seal_frame(stream, fleet_bytes({"x", 9}));
            frame.back() = static_cast<char>(frame.back() ^ 1);
            return frame;
        });
}

// Guards against a frame that is played again.
TEST_F(peer_link_hostile_frame, repeated_frame_closes)
{
    expect_closed_after(
        [](frame_stream& stream)
        {
            stream.next_sequence = 1;
            return seal_frame(stream, fleet_bytes({"x", 9}));
        });
}

// Guards against an authenticated process that speaks in the name of another.
TEST_F(peer_link_hostile_frame, message_in_another_name_closes)
{
    expect_closed_after(
        [](frame_stream& stream) {
            return seal_frame(stream, fleet_bytes({"y", 9}));
        });
}

// Guards against a payload that is no message.
TEST_F(peer_link_hostile_frame, malformed_message_closes)
{
    expect_closed_after([](frame_stream& stream) { return seal_frame(stream, "junk"); });
}

// Guards against connections that never finish their handshake and pile up.
TEST_F(peer_link_error, silent_connection_is_closed)
{
    const auto a = make_node("a", 1, "secret", {.handshake_timeout = 50ms});
    raw_client client(io, a->link->port());
    client.write("ZFP");
    EXPECT_TRUE(run_until([&] { return !client.poll(); }));
}

// Guards against a listener or list entry with an address that cannot be used.
TEST_F(peer_link_error, bad_addresses_are_reported)
{
    for (const char* address : {"", "127.0.0.1", "localhost:1", "127.0.0.1:x", "127.0.0.1:70000"})
    {
        peer_link link(io.get_executor(),
                       {.session = {.self = {"a", 1}}, .listen_address = address},
                       [](const fleet::message&) {});
        const bool typed = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_CHECK(link.listen());
                return false;
            },
            [](const address_error& error) { return !error.detail.empty(); }, [] { return false; });
        EXPECT_TRUE(typed) << address;
        link.set_peers({{"b", address}});
        EXPECT_EQ(link.dump().at("bad_addresses").as_uint64(), 1U);
    }
}

} // namespace
} // namespace zinniaferry::net::test
