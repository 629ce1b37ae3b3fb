#include "net/peer_link.hpp"

#include "net/await_error.hpp"

#include <boost/asio/read.hpp>
#include <boost/endian/conversion.hpp>

#include <array>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// For any part of a frame.
constexpr core::duration write_timeout = std::chrono::seconds(2);
constexpr std::size_t max_outbox_frames = 1024;

void log_refused(event_log& log, const std::string& why)
{
    log.write("peers", "refused", {{"why", why}});
}

std::optional<fleet::hub_message> decode(std::string_view body, event_log& log)
{
    std::optional<fleet::hub_message> out;
    boost::leaf::try_handle_all(
        [&]() -> core::result<void>
        {
            BOOST_LEAF_ASSIGN(out, fleet::decode_hub_message(body));
            return {};
        },
        [&](const core::peer_message_error& refused)
        { log_refused(log, core::to_string(refused)); },
        [&] { log_refused(log, "peer message refused: unexpected error while decoding"); });
    return out;
}

// Returns an error if the peer reads nothing for the timeout. A large frame on a slow link may take
// longer in all.
asio::awaitable<error_code> write_frame(peer_link& link, const std::string& frame)
{
    error_code error;
    std::size_t written = 0;
    while (!error && written < frame.size())
    {
        link.write_timer.expires_after(write_timeout);
        written += co_await link.socket.async_write_some(
            asio::buffer(frame.data() + written, frame.size() - written), redirect_error_to(error));
    }
    link.write_timer.clear();
    co_return error;
}

} // namespace

void close_link(peer_link& link)
{
    link.closed = true;
    error_code ignored;
    link.socket.close(ignored);
    link.outbox_filled.cancel();
}

void queue_frame(peer_link& link, frame_pointer frame)
{
    link.outbox.push_back(std::move(frame));
    if (link.outbox.size() > max_outbox_frames)
    {
        close_link(link);
    }
    link.outbox_filled.cancel();
}

asio::awaitable<void> write_frames(std::shared_ptr<peer_link> link)
{
    error_code error;
    while (!link->closed && !error)
    {
        if (link->outbox.empty())
        {
            link->outbox_filled.expires_at(asio::steady_timer::time_point::max());
            error_code woken;
            co_await link->outbox_filled.async_wait(redirect_error_to(woken));
            continue;
        }
        const frame_pointer frame = std::move(link->outbox.front());
        link->outbox.pop_front();
        error = co_await write_frame(*link, *frame);
    }
    close_link(*link);
}

asio::awaitable<std::optional<received_message>> receive_message(peer_link& link, event_log& log)
{
    std::array<unsigned char, fleet::frame_length_bytes> length{};
    error_code error;
    co_await asio::async_read(link.socket, asio::buffer(length), redirect_error_to(error));
    const std::uint32_t size = boost::endian::load_big_u32(length.data());
    if (error)
    {
        co_return std::nullopt;
    }
    if (size > fleet::max_hub_message_bytes)
    {
        log_refused(log, core::to_string(core::peer_message_error{
                             core::peer_message_error::reason::too_large, size}));
        co_return std::nullopt;
    }
    std::string body(size, '\0');
    co_await asio::async_read(link.socket, asio::buffer(body), redirect_error_to(error));
    if (error)
    {
        co_return std::nullopt;
    }
    auto message = decode(body, log);
    if (!message)
    {
        co_return std::nullopt;
    }
    co_return received_message{std::move(*message), fleet::frame_length_bytes + size};
}

} // namespace zinniaferry::net
