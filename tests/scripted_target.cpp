#include "scripted_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <stdexcept>

namespace lagoonferry::test {

namespace {

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

} // namespace

std::string header_value(const std::string& request, std::string_view name)
{
    const std::string key = "\r\n" + lower(std::string(name)) + ":";
    const std::size_t at = lower(request).find(key);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = request.find_first_not_of(' ', at + key.size());
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

bool target_connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::string target_connection::read_request()
{
    std::array<char, 4096> buf{};
    while (true) {
        const std::size_t header_end = m_pending.find("\r\n\r\n");
        if (header_end != std::string::npos) {
            const std::string length = header_value(m_pending.substr(0, header_end + 2), "Content-Length");
            const std::size_t request_size = header_end + 4 + (length.empty() ? 0 : std::stoul(length));
            if (m_pending.size() >= request_size) {
                std::string request = m_pending.substr(0, request_size);
                m_pending.erase(0, request_size);
                return request;
            }
        }
        const ssize_t n = ::recv(m_socket, buf.data(), buf.size(), 0);
        if (n <= 0) {
            return {};
        }
        m_pending.append(buf.data(), static_cast<std::size_t>(n));
    }
}

bool target_connection::closed_within(int wait_ms)
{
    pollfd item{m_socket, POLLIN, 0};
    char byte = 0;
    return ::poll(&item, 1, wait_ms) > 0 && ::recv(m_socket, &byte, 1, MSG_PEEK) <= 0;
}

void target_connection::reset()
{
    const linger reset_on_close{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    // An unconnected socket takes the descriptor, so that its number is not reused before the destructor closes it.
    const int unconnected = ::socket(AF_INET, SOCK_STREAM, 0);
    ::dup2(unconnected, m_socket);
    ::close(unconnected);
}

scripted_target::scripted_target(script answer) : m_script(std::move(answer))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(m_listener, 64) != 0 ||
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen on a port for a scripted target");
    }
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_acceptor = std::thread([this] { accept_all(); });
}

scripted_target::~scripted_target()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        std::ranges::for_each(m_sockets, [](int socket) { ::shutdown(socket, SHUT_RDWR); });
    }
    std::ranges::for_each(m_workers, [](std::thread& worker) { worker.join(); });
    std::ranges::for_each(m_sockets, [](int socket) { ::close(socket); });
}

void scripted_target::accept_all()
{
    for (int number = 0; !m_stopping; ++number) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        ++m_connections;
        m_sockets.push_back(socket);
        m_workers.emplace_back([this, socket, number] {
            target_connection connection(socket);
            m_script(connection, number);
            ::shutdown(socket, SHUT_WR);
        });
    }
}

std::vector<std::string> scripted_target::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void scripted_target::record_request(const std::string& request)
{
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(request);
}

} // namespace lagoonferry::test
