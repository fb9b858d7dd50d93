#include "raw_connection.h"

#include "peer/network_address.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lagoonferry::test {

using clock = std::chrono::steady_clock;

raw_connection::raw_connection(const std::string& address)
{
    const network_address parsed = parse_address(address).value_or(network_address{});
    REQUIRE(parsed.port != 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(parsed.port);
    ::inet_pton(AF_INET, parsed.host.c_str(), &target.sin_addr);
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    REQUIRE(m_socket >= 0);
    const int error = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    m_closed = error != 0 && errno != EINPROGRESS;
}

raw_connection::~raw_connection()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : m_socket(std::exchange(other.m_socket, -1)), m_closed(other.m_closed), m_received(std::move(other.m_received))
{
}

bool raw_connection::send(std::string_view text)
{
    const ssize_t n = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    m_closed = m_closed || (n < 0 && errno != EAGAIN);
    return !m_closed;
}

bool raw_connection::closed_within(std::chrono::milliseconds timeout)
{
    const auto deadline = clock::now() + timeout;
    while (!m_closed) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now()).count();
        pollfd entry{m_socket, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left, 0))) <= 0) {
            return false;
        }
        std::array<char, 4096> buf{};
        const ssize_t n = ::recv(m_socket, buf.data(), buf.size(), 0);
        if (n > 0) {
            m_received.append(buf.data(), static_cast<std::size_t>(n));
        }
        else {
            m_closed = n == 0 || errno != EAGAIN;
        }
    }
    return true;
}

} // namespace lagoonferry::test
