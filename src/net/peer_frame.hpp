/// Handshake and frames of the peer transport as pure functions over bytes.
///
/// A connection starts with a hello in each direction (identity and nonce). Then the server and
/// the client prove by HMAC-SHA256 over both hellos that they know the fleet secret. Each frame is
/// a 4-byte length, an 8-byte sequence number, a 16-byte MAC and the payload, in network order.
/// The MAC keys depend on both nonces and on the direction, so that no frame can be replayed on
/// another connection or reflected.
#pragma once

#include "core/digest.hpp"
#include "core/error.hpp"
#include "core/id.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace zinniaferry::net
{

inline constexpr std::size_t frame_header_size = 28;
inline constexpr std::size_t frame_mac_size = 16;

/// Largest payload: 1 MB for a configuration and 64 KB for the rest.
inline constexpr std::size_t max_frame_payload = (std::size_t{1} << 20U) + (std::size_t{64} << 10U);

inline constexpr std::size_t proof_size = 32;

/// Bytes of a hello before the name of the VM: magic number and length of the name.
inline constexpr std::size_t hello_prefix_size = 6;

/// Bytes of a hello after the name of the VM: incarnation and nonce.
inline constexpr std::size_t hello_suffix_size = 40;

inline constexpr std::size_t max_vm_name_size = 256;

enum class peer_role
{
    client,
    server
};

struct hello
{
    core::process_id id;
    std::array<std::uint8_t, 32> nonce{};
};

/// Draws a nonce from the system's generator. Thread safe.
std::array<std::uint8_t, 32> draw_nonce();

/// Returns the bytes of a hello. Precondition: the VM's name is not longer than
/// `max_vm_name_size`. Thread safe.
std::string write_hello(const hello& value);

/// Returns the size of the whole hello that starts with these `hello_prefix_size` bytes. Error:
/// peer_message_error. Thread safe.
core::result<std::size_t> hello_size(std::string_view prefix);

/// Reads a whole hello. Error: peer_message_error. Thread safe.
core::result<hello> read_hello(std::string_view bytes);

/// Returns the proof of one side. Thread safe.
core::digest make_proof(std::string_view secret, peer_role side, std::string_view client_hello,
                        std::string_view server_hello);

/// Returns the MAC key of the frames that one side sends. Thread safe.
core::digest make_frame_key(std::string_view secret, peer_role sender,
                            std::string_view client_hello, std::string_view server_hello);

/// State of one direction: the key and the sequence number of the next frame.
struct frame_stream
{
    core::digest key{};
    std::uint64_t next_sequence = 1;
};

struct frame_header
{
    std::uint32_t size = 0; ///< Of the payload, in bytes.
    std::uint64_t sequence = 0;
    std::array<std::uint8_t, frame_mac_size> mac{};
};

/// Returns the frame of a payload and advances the sequence number. Precondition: the payload is
/// at most `max_frame_payload`. Not thread safe for a shared stream.
std::string seal_frame(frame_stream& stream, std::string_view payload);

/// Reads a header of `frame_header_size` bytes. Error: peer_message_error, too_large before any
/// payload is read. Thread safe.
core::result<frame_header> read_frame_header(std::string_view bytes);

/// Checks the payload's MAC and sequence number and advances it. Error: peer_message_error, after
/// which the connection must be closed. Not thread safe for a shared stream.
core::result<void> open_frame(frame_stream& stream, const frame_header& header,
                              std::string_view payload);

} // namespace zinniaferry::net
