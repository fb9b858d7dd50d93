#include "peer/network_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace lagoonferry {

std::optional<network_address> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    network_address address{std::string(text.substr(0, colon)), 0};
    in_addr parsed{};
    if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.begin(), digits.end(), address.port);
    if (ec != std::errc{} || end != digits.end()) {
        return std::nullopt;
    }
    return address;
}

std::string to_string(const network_address& address)
{
    return address.host + ':' + std::to_string(address.port);
}

} // namespace lagoonferry
