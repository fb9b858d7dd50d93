#include "tcp_relay.h"

#include "peer/network_address.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lagoonferry::standin {

namespace {

// Upper bound on the time until a waiting connection notices a mode change.
constexpr int poll_interval_ms = 20;
constexpr int backlog = 1024;
constexpr std::size_t buffer_bytes = 65'536;

sockaddr_in socket_address(const network_address& address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
}

bool readable(int socket)
{
    pollfd entry{socket, POLLIN, 0};
    return ::poll(&entry, 1, poll_interval_ms) > 0;
}

/// Waits up to the poll interval for the peer to close its end, without reading data.
bool closed_by_peer(int socket)
{
    pollfd entry{socket, POLLRDHUP, 0};
    return ::poll(&entry, 1, poll_interval_ms) > 0;
}

void disable_nagle(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Closes the connection with a TCP reset.
void reset_connection(int socket)
{
    const linger now{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::close(socket);
}

int connect_to(const std::string& target)
{
    const auto parsed = parse_address(target);
    if (!parsed) {
        return -1;
    }
    const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socket_address(*parsed);
    if (::connect(out, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(out);
        return -1;
    }
    disable_nagle(out);
    return out;
}

bool send_all(int socket, const char* data, std::size_t size)
{
    while (size > 0) {
        const ssize_t n = ::send(socket, data, size, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        data += n;
        size -= static_cast<std::size_t>(n);
    }
    return true;
}

} // namespace

tcp_relay::tcp_relay(std::string target) : m_target(std::move(target)) {}

tcp_relay::~tcp_relay()
{
    stop();
}

bool tcp_relay::start(const std::string& host)
{
    sockaddr_in address = socket_address({host, 0});
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::bind(m_listener, generic, size) != 0 || ::listen(m_listener, backlog) != 0 ||
        ::getsockname(m_listener, generic, &size) != 0) {
        return false;
    }
    m_address = to_string(network_address{host, ntohs(address.sin_port)});
    m_thread = std::thread([this] { run(); });
    return true;
}

void tcp_relay::set_mode(relay_mode mode, std::chrono::milliseconds delay)
{
    m_delay = delay;
    m_mode = mode;
}

void tcp_relay::stop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
    std::ranges::for_each(m_connections, &std::thread::join);
    ::close(m_listener);
}

void tcp_relay::run()
{
    while (!stopped()) {
        const int client = readable(m_listener) ? ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC) : -1;
        if (client < 0) {
            continue;
        }
        const std::size_t number = m_accepted++;
        m_connections.emplace_back([this, client, number] { serve(client, number); });
    }
}

void tcp_relay::serve(int client, std::size_t number)
{
    disable_nagle(client);
    const int server = m_mode == relay_mode::refuse ? -1 : connect_to(m_target);
    if (server >= 0) {
        pump(client, server, number);
    }
    if (m_mode == relay_mode::refuse) {
        reset_connection(client);
    }
    else {
        ::close(client);
    }
    if (server >= 0) {
        ::close(server);
    }
}

void tcp_relay::pump(int client, int server, std::size_t number)
{
    std::array<pollfd, 2> sockets{{{client, POLLIN, 0}, {server, POLLIN, 0}}};
    bool open = true;
    while (open && !stopped() && m_mode != relay_mode::refuse) {
        // Data that is not forwarded stays in the socket buffers.
        const relay_mode mode = m_mode;
        if (number < m_first_audible) {
            open = !closed_by_peer(client);
            continue;
        }
        const nfds_t watched = mode == relay_mode::drop ? 0 : mode == relay_mode::drop_responses ? 1 : sockets.size();
        sockets[1].revents = 0;
        if (::poll(sockets.data(), watched, poll_interval_ms) <= 0 || number < m_first_audible) {
            continue;
        }
        open = (sockets[0].revents == 0 || forward(client, server)) &&
               (sockets[1].revents == 0 || forward(server, client));
    }
}

bool tcp_relay::forward(int from, int to)
{
    std::array<char, buffer_bytes> buf{};
    const ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
    if (n <= 0) {
        return false;
    }
    if (m_mode == relay_mode::delay) {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, m_delay.load(), [this] { return stopped(); });
    }
    return send_all(to, buf.data(), static_cast<std::size_t>(n));
}

} // namespace lagoonferry::standin
