#include "peer/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace lagoonferry {

namespace {

// No UDP datagram is larger.
constexpr std::size_t receive_buffer_bytes = 65536;

std::optional<sockaddr_in> to_sockaddr(const network_address& address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &out.sin_addr) != 1) {
        return std::nullopt;
    }
    return out;
}

network_address from_sockaddr(const sockaddr_in& in)
{
    std::array<char, INET_ADDRSTRLEN> host{};
    inet_ntop(AF_INET, &in.sin_addr, host.data(), host.size());
    return {host.data(), ntohs(in.sin_port)};
}

} // namespace

std::optional<datagram_socket> datagram_socket::bind(const network_address& address)
{
    const auto wanted = to_sockaddr(address);
    if (!wanted) {
        return std::nullopt;
    }
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return std::nullopt;
    }
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&*wanted), sizeof(*wanted)) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
        ::close(fd);
        return std::nullopt;
    }
    return datagram_socket(fd, from_sockaddr(bound));
}

datagram_socket::datagram_socket(datagram_socket&& other) noexcept
    : m_fd(std::exchange(other.m_fd, -1)), m_local(std::move(other.m_local))
{
}

datagram_socket& datagram_socket::operator=(datagram_socket&& other) noexcept
{
    std::swap(m_fd, other.m_fd);
    std::swap(m_local, other.m_local);
    return *this;
}

datagram_socket::~datagram_socket()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

bool datagram_socket::send(const network_address& to, std::span<const std::byte> bytes) const
{
    const auto address = to_sockaddr(to);
    if (!address) {
        return false;
    }
    const ssize_t n = ::sendto(m_fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                               reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
    return n == static_cast<ssize_t>(bytes.size());
}

std::optional<received_datagram> datagram_socket::receive(std::chrono::milliseconds timeout) const
{
    pollfd waiting{m_fd, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) {
        return std::nullopt;
    }
    std::vector<std::byte> buf(receive_buffer_bytes);
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t n = ::recvfrom(m_fd, buf.data(), buf.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0) {
        return std::nullopt;
    }
    buf.resize(static_cast<std::size_t>(n));
    return received_datagram{from_sockaddr(from), std::move(buf)};
}

} // namespace lagoonferry
