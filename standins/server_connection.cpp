#include "server_connection.h"

#include <algorithm>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace lagoonferry::standin {

namespace {

constexpr std::chrono::milliseconds io_timeout{5'000};

short wait_for_event(int socket, short events, std::chrono::milliseconds timeout)
{
    pollfd entry{socket, events, 0};
    int ready = 0;
    do {
        ready = ::poll(&entry, 1, static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0 ? entry.revents : short{0};
}

void read_address(const sockaddr_in& address, std::string& ip, int& port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ip = ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) == nullptr ? "" : text.data();
    port = ntohs(address.sin_port);
}

} // namespace

bool server_connection::wait_for_request(std::chrono::milliseconds timeout) const
{
    return buffered() > 0 || (wait_for_event(m_socket, POLLIN, timeout) & POLLIN) != 0;
}

bool server_connection::is_readable() const
{
    return buffered() > 0 || (wait_for_event(m_socket, POLLIN, io_timeout) & POLLIN) != 0;
}

bool server_connection::is_writable() const
{
    const short events = wait_for_event(m_socket, POLLOUT | POLLRDHUP, io_timeout);
    return !m_dropped && (events & POLLOUT) != 0 && (events & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

ssize_t server_connection::read(char* data, std::size_t size)
{
    if (buffered() == 0) {
        if (!is_readable()) {
            return -1;
        }
        const ssize_t received = ::recv(m_socket, m_buf.data(), m_buf.size(), 0);
        if (received <= 0) {
            return received;
        }
        m_begin = 0;
        m_end = static_cast<std::size_t>(received);
    }
    const std::size_t n = std::min(size, buffered());
    std::copy_n(m_buf.begin() + static_cast<std::ptrdiff_t>(m_begin), n, data);
    m_begin += n;
    return static_cast<ssize_t>(n);
}

ssize_t server_connection::write(const char* data, std::size_t size)
{
    if (m_dropped || (wait_for_event(m_socket, POLLOUT, io_timeout) & POLLOUT) == 0) {
        return -1;
    }
    return ::send(m_socket, data, size, MSG_NOSIGNAL);
}

void server_connection::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    read_address(address, ip, port);
}

void server_connection::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    read_address(address, ip, port);
}

} // namespace lagoonferry::standin
