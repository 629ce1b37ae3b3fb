#include "net/peer_frame.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

frame_stream stream_with(std::uint8_t fill)
{
    frame_stream stream;
    stream.key.fill(fill);
    return stream;
}

bool opens(frame_stream& stream, const std::string& frame)
{
    const frame_header header = read_frame_header(frame.substr(0, frame_header_size)).value();
    return bool(open_frame(stream, header, std::string_view(frame).substr(frame_header_size)));
}

// Guards against frames that are lost, repeated or reordered by someone between two peers.
TEST(peer_frame, frames_open_once_and_in_order)
{
    frame_stream out = stream_with(1);
    frame_stream in = stream_with(1);
    const std::string first = seal_frame(out, "first");
    const std::string second = seal_frame(out, "");
    EXPECT_FALSE(opens(in, second)) << "a frame was skipped";
    EXPECT_TRUE(opens(in, first));
    EXPECT_FALSE(opens(in, first)) << "a frame was repeated";
    EXPECT_TRUE(opens(in, second));
}

// Guards against a changed byte anywhere in a frame, and against another key.
TEST(peer_frame, any_changed_byte_is_found)
{
    frame_stream out = stream_with(1);
    const std::string frame = seal_frame(out, "payload");
    for (std::size_t i = 4; i < frame.size(); ++i) // The first 4 bytes are the length.
    {
        std::string changed = frame;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        frame_stream in = stream_with(1);
        EXPECT_FALSE(opens(in, changed)) << "byte " << i;
    }
    frame_stream other = stream_with(2);
    EXPECT_FALSE(opens(other, frame));
}

// Guards against a payload that is read before its size is checked.
TEST(peer_frame, oversized_frame_is_refused_by_its_header)
{
    std::string header(frame_header_size, '\0');
    header[1] = 0x11; // 1 MB + 64 KB.
    EXPECT_TRUE(read_frame_header(header));
    header[3] = 1;
    EXPECT_FALSE(read_frame_header(header));
    EXPECT_FALSE(read_frame_header("short"));
}

// Guards against a hello of another protocol or with a name of any length.
TEST(peer_frame, hello_is_read_as_written_or_refused)
{
    const hello written{{"vm1", 0x0102030405060708ULL}, draw_nonce()};
    const std::string bytes = write_hello(written);
    EXPECT_EQ(hello_size(bytes.substr(0, hello_prefix_size)).value(), bytes.size());
    const hello read = read_hello(bytes).value();
    EXPECT_EQ(read.id, written.id);
    EXPECT_EQ(read.nonce, written.nonce);
    EXPECT_FALSE(read_hello(bytes.substr(0, bytes.size() - 1)));
    EXPECT_FALSE(hello_size(std::string("GET / ")));
    EXPECT_FALSE(hello_size(std::string("ZFP1\0\0", 6)));
    EXPECT_FALSE(hello_size(std::string("ZFP1\x01\x01", 6)));
}

// Guards against a proof or key that can be reflected, or reused with another nonce.
TEST(peer_frame, proofs_and_keys_depend_on_side_nonces_and_secret)
{
    const std::string client = write_hello({{"a", 1}, draw_nonce()});
    const std::string server = write_hello({{"b", 1}, draw_nonce()});
    const std::string again = write_hello({{"b", 1}, draw_nonce()});
    const core::digest proof = make_proof("secret", peer_role::client, client, server);
    EXPECT_EQ(proof, make_proof("secret", peer_role::client, client, server));
    EXPECT_NE(proof, make_proof("secret", peer_role::server, client, server));
    EXPECT_NE(proof, make_proof("secret", peer_role::client, client, again));
    EXPECT_NE(proof, make_proof("other", peer_role::client, client, server));
    EXPECT_NE(proof, make_frame_key("secret", peer_role::client, client, server));
    EXPECT_NE(make_frame_key("secret", peer_role::client, client, server),
              make_frame_key("secret", peer_role::server, client, server));
}

} // namespace
} // namespace zinniaferry::net
