/// Addresses as settings and configuration write them: an IP number and a port, never a name,
/// because the machines have no resolver that could be relied on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniaferry::config
{

struct ip_endpoint
{
    std::string ip; ///< IPv4 or IPv6 number, without brackets.
    std::uint16_t port = 0;

    bool operator==(const ip_endpoint&) const = default;
};

/// Reads "192.0.2.1:80" or "[2001:db8::1]:80". Returns nothing when the text is anything else.
/// Port 0 is accepted here. Thread safe.
std::optional<ip_endpoint> parse_address(std::string_view text);

/// Returns the text that `parse_address` reads. Thread safe.
std::string to_string(const ip_endpoint& address);

} // namespace zinniaferry::config
