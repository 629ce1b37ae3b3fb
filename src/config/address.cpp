#include "config/address.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace zinniaferry::config
{

namespace
{

bool is_valid_ip(const std::string& text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

// Leading zeros are rejected, so that an address has only one spelling and duplicates are found.
std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, port);
    const bool has_leading_zero = text.size() > 1 && text.front() == '0';
    if (text.empty() || has_leading_zero || error != std::errc() || parsed_end != end)
    {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<ip_endpoint> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view ip = text.substr(0, colon);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed)
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    ip_endpoint out{.ip = std::string(ip)};
    const std::optional<std::uint16_t> port = parse_port(text.substr(colon + 1));
    if (!port || !is_valid_ip(out.ip, bracketed ? AF_INET6 : AF_INET))
    {
        return std::nullopt;
    }
    out.port = *port;
    return out;
}

std::string to_string(const ip_endpoint& address)
{
    const bool is_v6 = address.ip.find(':') != std::string::npos;
    return (is_v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

} // namespace zinniaferry::config
