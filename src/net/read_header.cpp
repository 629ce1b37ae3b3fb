#include "net/read_header.hpp"

#include "net/await_error.hpp"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

namespace zinniaferry::net
{

namespace
{

namespace http = boost::beast::http;

constexpr std::string_view end_of_header = "\r\n\r\n";
/// Most bytes that one read asks for.
constexpr std::size_t max_read_bytes = 64UL * 1024UL;
/// Memory of a field beside its name and value: its node, separators and the allocator's share.
constexpr std::uint64_t field_overhead_bytes = 96;

std::string_view received(const boost::beast::flat_buffer& buffer)
{
    const auto data = buffer.cdata();
    return {static_cast<const char*>(data.data()), data.size()};
}

} // namespace

boost::asio::awaitable<boost::system::error_code>
receive_header(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer)
{
    boost::system::error_code error;
    std::size_t searched = 0;
    while (!error)
    {
        const std::size_t from = searched - std::min(searched, end_of_header.size() - 1);
        const std::size_t room = boost::beast::read_size(buffer, max_read_bytes);
        if (received(buffer).find(end_of_header, from) != std::string_view::npos || room == 0)
        {
            co_return error;
        }
        searched = buffer.size();
        const std::size_t size =
            co_await socket.async_read_some(buffer.prepare(room), redirect_error_to(error));
        buffer.commit(size);
    }
    // Asio does not complete a further read after the end, so the parser cannot find it itself.
    if (error == boost::asio::error::eof)
    {
        error = buffer.size() > 0 ? http::error::partial_message : http::error::end_of_stream;
    }
    co_return error;
}

std::uint64_t unparsed_header_memory(const boost::beast::flat_buffer& buffer)
{
    const std::string_view text = received(buffer);
    const std::size_t end = text.find(end_of_header);
    if (end == std::string_view::npos)
    {
        return 0;
    }
    const auto fields =
        std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
    return end + static_cast<std::uint64_t>(fields) * field_overhead_bytes;
}

std::uint64_t header_memory(const boost::beast::http::fields& header)
{
    std::uint64_t out = 0;
    for (const auto& field : header)
    {
        out += field.name_string().size() + field.value().size() + field_overhead_bytes;
    }
    return out;
}

} // namespace zinniaferry::net
