#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// An IPv4 address and port. Host names are not resolved: processes know one another's IP addresses.
struct network_address {
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const network_address&, const network_address&) = default;
};

/// Parses "a.b.c.d:port". Returns nothing if the string has another form. Thread-safe.
std::optional<network_address> parse_address(std::string_view text);

/// Returns "a.b.c.d:port". Thread-safe.
std::string to_string(const network_address& address);

} // namespace lagoonferry
