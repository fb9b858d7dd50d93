#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// An IP address and a TCP or UDP port. Host names are not accepted: all processes address each other by IP.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

/// Returns whether `text` is an IPv4 or IPv6 address without brackets. Thread-safe.
bool is_ip_address(std::string_view text);

/// Reads "10.0.0.1:80" or "[::1]:80"; nothing for other texts and for port 0. Thread-safe.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Returns the form that parse_endpoint reads. Thread-safe.
std::string to_string(const endpoint& address);

} // namespace lagoonferry
