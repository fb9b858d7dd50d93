#include "peer/http_listener.h"

#include "peer/bounded_server.h"

#include <httplib.h>

#include <sys/socket.h>

namespace lagoonferry {

namespace {

// cpp-httplib listens with a backlog of 5. Connections of a burst beyond it were lost.
constexpr int listen_backlog = 1024;

} // namespace

http_listener::http_listener(const http_limits& limits)
    : m_server(std::make_unique<bounded_server>(limits.threads, limits.max_queued, limits.request))
{
    m_server->set_payload_max_length(limits.max_body_bytes);
    m_server->set_tcp_nodelay(true);
    m_server->set_socket_options([this](socket_t fd) {
        m_listen_fd = fd;
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
}

http_listener::~http_listener()
{
    stop();
}

std::optional<network_address> http_listener::bind(const network_address& address)
{
    network_address bound = address;
    if (address.port == 0) {
        const int port = m_server->bind_to_any_port(address.host);
        if (port <= 0) {
            return std::nullopt;
        }
        bound.port = static_cast<std::uint16_t>(port);
    }
    else if (!m_server->bind_to_port(address.host, address.port)) {
        return std::nullopt;
    }
    ::listen(m_listen_fd, listen_backlog);
    return bound;
}

void http_listener::serve()
{
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
}

std::optional<network_address> http_listener::start(const network_address& address)
{
    auto bound = bind(address);
    if (bound) {
        serve();
    }
    return bound;
}

void http_listener::stop()
{
    if (m_thread.joinable()) {
        m_server->stop();
        m_thread.join();
    }
}

} // namespace lagoonferry
