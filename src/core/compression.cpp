#include "core/compression.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace zinniaferry::core
{

namespace
{

namespace zlib = boost::beast::zlib;

/// Low, because a hub compresses while requests wait; higher levels save little on JSON.
constexpr int compression_level = 3;
constexpr int window_bits = 15;
constexpr int memory_level = 8;
/// Beast's inflate_stream reads ahead by up to two bytes, and does not find the end mark of some
/// streams if these are missing.
constexpr std::size_t read_ahead_bytes = 2;

zlib::z_params make_params(std::string_view in, std::string& out)
{
    zlib::z_params params;
    params.next_in = in.data();
    params.avail_in = in.size();
    params.next_out = out.data();
    params.avail_out = out.size();
    return params;
}

} // namespace

std::string compress(std::string_view bytes)
{
    zlib::deflate_stream stream;
    stream.reset(compression_level, window_bits, memory_level, zlib::Strategy::normal);
    std::string out(stream.upper_bound(bytes.size()), '\0');
    zlib::z_params params = make_params(bytes, out);
    boost::system::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    out.resize(out.size() - params.avail_out);
    return out;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t size)
{
    zlib::inflate_stream stream;
    stream.reset(window_bits);
    const std::string padded = std::string(compressed) + std::string(read_ahead_bytes, '\0');
    std::string out(size, '\0');
    zlib::z_params params = make_params(padded, out);
    boost::system::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    const bool is_whole = error == zlib::error::end_of_stream &&
                          params.avail_in <= read_ahead_bytes && params.avail_out == 0;
    return is_whole ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace zinniaferry::core
