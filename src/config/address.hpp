/// Addresses in settings and configurations: an IP address and a port. Host names are not accepted,
/// because the VMs have no reliable resolver.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniaferry::config
{

struct ip_endpoint
{
    std::string ip; ///< IPv4 or IPv6 address, without brackets.
    std::uint16_t port = 0;

    bool operator==(const ip_endpoint&) const = default;
};

/// Parses an address such as "192.0.2.1:80" or "[2001:db8::1]:80". Port 0 is accepted. Returns
/// nothing for any other text. Thread safe.
std::optional<ip_endpoint> parse_address(std::string_view text);

/// Returns the address in the form that `parse_address` accepts. Thread safe.
std::string to_string(const ip_endpoint& address);

} // namespace zinniaferry::config
