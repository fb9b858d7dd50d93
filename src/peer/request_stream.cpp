#include "peer/request_stream.h"

#include "peer/socket_events.h"

#include <algorithm>
#include <string_view>

#include <poll.h>
#include <sys/socket.h>

namespace lagoonferry {

namespace {

constexpr std::string_view header_terminator = "\r\n\r\n";
constexpr std::chrono::milliseconds write_timeout{5'000};

} // namespace

bool request_stream::wait_for_request(std::chrono::milliseconds timeout) const
{
    return buffered() > 0 || (wait_for_event(m_socket, POLLIN, timeout) & POLLIN) != 0;
}

void request_stream::begin_request()
{
    m_deadline = steady_now() + m_limits.request_timeout;
    m_header_bytes = 0;
    m_terminator_matched = 0;
}

std::chrono::milliseconds request_stream::time_left() const
{
    const timestamp left = std::min(m_deadline - steady_now(), m_limits.read_timeout);
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(left, timestamp{0}));
}

bool request_stream::is_readable() const
{
    return buffered() > 0 || (wait_for_event(m_socket, POLLIN, time_left()) & POLLIN) != 0;
}

bool request_stream::is_writable() const
{
    const short events = wait_for_event(m_socket, POLLOUT | POLLRDHUP, write_timeout);
    return (events & POLLOUT) != 0 && (events & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

ssize_t request_stream::read(char* data, std::size_t size)
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
    return check_header_size(data, n) ? static_cast<ssize_t>(n) : -1;
}

bool request_stream::check_header_size(const char* data, std::size_t size)
{
    for (std::size_t n = 0; n < size && m_terminator_matched < header_terminator.size(); ++n) {
        ++m_header_bytes;
        if (data[n] == header_terminator[m_terminator_matched]) {
            ++m_terminator_matched;
        }
        else {
            m_terminator_matched = data[n] == header_terminator.front() ? 1 : 0;
        }
    }
    return m_header_bytes <= m_limits.max_header_bytes;
}

ssize_t request_stream::write(const char* data, std::size_t size)
{
    if ((wait_for_event(m_socket, POLLOUT, write_timeout) & POLLOUT) == 0) {
        return -1;
    }
    return ::send(m_socket, data, size, MSG_NOSIGNAL);
}

void request_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_remote_address(m_socket, ip, port);
}

void request_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_local_address(m_socket, ip, port);
}

} // namespace lagoonferry
