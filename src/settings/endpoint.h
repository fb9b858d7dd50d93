#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// An IP address and a TCP or UDP port. Host names are not supported: processes address each other by IP address.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

/// Returns whether `text` is an IPv4 or IPv6 address without brackets. Thread-safe.
bool is_ip_address(std::string_view text);

/// Parses "10.0.0.1:80" or "[::1]:80". Returns nothing for other strings and for port 0. Thread-safe.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats an endpoint in the format that parse_endpoint() accepts. Thread-safe.
std::string to_string(const endpoint& address);

} // namespace lagoonferry
