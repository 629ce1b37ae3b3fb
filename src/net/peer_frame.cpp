#include "net/peer_frame.hpp"

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <algorithm>
#include <stdexcept>

namespace zinniaferry::net
{

namespace
{

using reason = core::peer_message_error::reason;

// The last character is the version of the protocol.
constexpr std::string_view magic = "ZFP1";

template <class Number>
void append_number(std::string& out, Number value)
{
    for (int shift = 8 * (static_cast<int>(sizeof value) - 1); shift >= 0; shift -= 8)
    {
        out.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xFFU));
    }
}

template <class Number>
Number number_at(std::string_view bytes, std::size_t position)
{
    Number value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
    {
        value = static_cast<Number>(value << 8U) | static_cast<std::uint8_t>(bytes[position + i]);
    }
    return value;
}

core::digest derive(std::string_view secret, std::string_view purpose, peer_role side,
                    std::string_view client_hello, std::string_view server_hello)
{
    std::string text(purpose);
    text += side == peer_role::client ? " client\n" : " server\n";
    text += client_hello; // States its own length, so the two hellos cannot be shifted.
    text += server_hello;
    return core::hmac_sha256(secret, text);
}

core::digest frame_mac(const core::digest& key, std::uint32_t size, std::uint64_t sequence,
                       std::string_view payload)
{
    std::string text;
    text.reserve(sizeof size + sizeof sequence + payload.size());
    append_number(text, size);
    append_number(text, sequence);
    text += payload;
    return core::hmac_sha256({reinterpret_cast<const char*>(key.data()), key.size()}, text);
}

boost::leaf::error_id refused(reason why, std::size_t size)
{
    return boost::leaf::new_error(core::peer_message_error{why, size});
}

} // namespace

std::array<std::uint8_t, 32> draw_nonce()
{
    std::array<std::uint8_t, 32> nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
    {
        throw std::runtime_error("the system has no random numbers");
    }
    return nonce;
}

std::string write_hello(const hello& value)
{
    std::string out(magic);
    append_number(out, static_cast<std::uint16_t>(value.id.vm.size()));
    out += value.id.vm;
    append_number(out, value.id.incarnation);
    out.append(reinterpret_cast<const char*>(value.nonce.data()), value.nonce.size());
    return out;
}

core::result<std::size_t> hello_size(std::string_view prefix)
{
    if (prefix.size() != hello_prefix_size || !prefix.starts_with(magic))
    {
        return refused(reason::malformed, prefix.size());
    }
    const std::size_t name = number_at<std::uint16_t>(prefix, magic.size());
    if (name == 0 || name > max_vm_name_size)
    {
        return refused(reason::malformed, name);
    }
    return hello_prefix_size + name + hello_suffix_size;
}

core::result<hello> read_hello(std::string_view bytes)
{
    BOOST_LEAF_AUTO(size, hello_size(bytes.substr(0, hello_prefix_size)));
    if (bytes.size() != size)
    {
        return refused(reason::malformed, bytes.size());
    }
    const std::size_t name = size - hello_prefix_size - hello_suffix_size;
    hello value;
    value.id.vm = bytes.substr(hello_prefix_size, name);
    value.id.incarnation = number_at<std::uint64_t>(bytes, hello_prefix_size + name);
    const std::string_view nonce = bytes.substr(size - value.nonce.size());
    std::copy(nonce.begin(), nonce.end(), value.nonce.begin());
    return value;
}

core::digest make_proof(std::string_view secret, peer_role side, std::string_view client_hello,
                        std::string_view server_hello)
{
    return derive(secret, "zinniaferry proof", side, client_hello, server_hello);
}

core::digest make_frame_key(std::string_view secret, peer_role sender,
                            std::string_view client_hello, std::string_view server_hello)
{
    return derive(secret, "zinniaferry frames", sender, client_hello, server_hello);
}

std::string seal_frame(frame_stream& stream, std::string_view payload)
{
    const auto size = static_cast<std::uint32_t>(payload.size());
    const std::uint64_t sequence = stream.next_sequence++;
    const core::digest mac = frame_mac(stream.key, size, sequence, payload);
    std::string out;
    out.reserve(frame_header_size + payload.size());
    append_number(out, size);
    append_number(out, sequence);
    out.append(reinterpret_cast<const char*>(mac.data()), frame_mac_size);
    out += payload;
    return out;
}

core::result<frame_header> read_frame_header(std::string_view bytes)
{
    if (bytes.size() != frame_header_size)
    {
        return refused(reason::malformed, bytes.size());
    }
    frame_header header{.size = number_at<std::uint32_t>(bytes, 0),
                        .sequence = number_at<std::uint64_t>(bytes, 4)};
    if (header.size > max_frame_payload)
    {
        return refused(reason::too_large, header.size);
    }
    std::copy(bytes.end() - frame_mac_size, bytes.end(), header.mac.begin());
    return header;
}

core::result<void> open_frame(frame_stream& stream, const frame_header& header,
                              std::string_view payload)
{
    const core::digest mac = frame_mac(stream.key, header.size, header.sequence, payload);
    if (header.size != payload.size() ||
        CRYPTO_memcmp(mac.data(), header.mac.data(), frame_mac_size) != 0)
    {
        return refused(reason::forged, payload.size());
    }
    if (header.sequence != stream.next_sequence)
    {
        return refused(reason::out_of_order, payload.size());
    }
    ++stream.next_sequence;
    return {};
}

} // namespace zinniaferry::net
