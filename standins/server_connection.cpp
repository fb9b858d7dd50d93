#include "server_connection.h"

#include "peer/socket_events.h"

#include <algorithm>

#include <poll.h>
#include <sys/socket.h>

namespace lagoonferry::standin {

namespace {

constexpr std::chrono::milliseconds io_timeout{5'000};

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
    read_remote_address(m_socket, ip, port);
}

void server_connection::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_local_address(m_socket, ip, port);
}

} // namespace lagoonferry::standin
