#include "settings/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace lagoonferry {

namespace {

bool is_family(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return ::inet_pton(family, text.c_str(), buf.data()) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc{} || end != text.data() + text.size() || port == 0) {
        return std::nullopt;
    }
    return port;
}

} // namespace

bool is_ip_address(std::string_view text)
{
    const std::string copy(text);
    return is_family(AF_INET, copy) || is_family(AF_INET6, copy);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip = text.substr(0, colon);
    const bool brackets = ip.starts_with('[') && ip.ends_with(']');
    if (brackets) {
        ip = ip.substr(1, ip.size() - 2);
    }
    const std::string copy(ip);
    const auto port = parse_port(text.substr(colon + 1));
    if (!port || !is_family(brackets ? AF_INET6 : AF_INET, copy)) {
        return std::nullopt;
    }
    return endpoint{copy, *port};
}

std::string to_string(const endpoint& address)
{
    const bool v6 = address.ip.find(':') != std::string::npos;
    const std::string host = v6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace lagoonferry
