/// Receives the header of an HTTP message before it is parsed, and tells how much memory it takes
/// then: each field has a node, so a header of many short fields takes many times its length.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include <cstdint>

namespace zinniaferry::net
{

/// Reads until the buffer has a complete header or is full, which the parser tells apart. If the
/// peer ends before, the error is the parser's: http::error::partial_message, or end_of_stream
/// before the first byte. Preconditions: the arguments outlive the operation. Thread safety: the
/// socket's executor only.
boost::asio::awaitable<boost::system::error_code>
receive_header(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer);

/// Returns the bytes of memory that the header in the buffer takes when it is parsed, 0 if it is
/// not complete. Thread safe while no thread modifies the buffer.
std::uint64_t unparsed_header_memory(const boost::beast::flat_buffer& buffer);

/// Returns the bytes of memory that a parsed header takes. Thread safe while no thread modifies it.
std::uint64_t header_memory(const boost::beast::http::fields& header);

} // namespace zinniaferry::net
