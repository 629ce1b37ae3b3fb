#include "net/read_header.hpp"

#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <string>

namespace zinniaferry::net
{
namespace
{

std::uint64_t unparsed_memory(const std::string& text)
{
    boost::beast::flat_buffer buffer;
    boost::beast::ostream(buffer) << text;
    return unparsed_header_memory(buffer);
}

// Guards against headers of many short fields for which too little memory is reserved.
TEST(read_header, a_header_is_known_to_take_what_it_takes_when_it_is_parsed)
{
    std::string text = "GET / HTTP/1.1\r\nHost: x\r\n";
    for (int i = 0; i < 1000; ++i)
    {
        text += "f:\r\n";
    }
    text += "\r\n";
    boost::beast::http::request_parser<boost::beast::http::empty_body> parser;
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text), error);
    ASSERT_FALSE(error);
    EXPECT_GE(unparsed_memory(text), header_memory(parser.get()));
    EXPECT_GE(header_memory(parser.get()), 96'000U);
}

// Guards against bytes of a body that are taken for fields, and so need room that is not there.
TEST(read_header, what_follows_a_header_is_not_counted)
{
    const std::string header = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n";
    EXPECT_EQ(unparsed_memory(header + std::string(1000, '\n')), unparsed_memory(header));
    EXPECT_EQ(unparsed_memory("GET / HTTP/1.1\r\nHost: x\r\n"), 0U) << "not complete";
}

} // namespace
} // namespace zinniaferry::net
