#include "net/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoonferry {

namespace {

/// A dead connection is detected after 1 s without traffic and three unanswered keep-alive probes, 1 s apart.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 3;
/// The connection is closed when sent bytes stay unacknowledged for this time (TCP_USER_TIMEOUT), in milliseconds.
constexpr int user_timeout_ms = 4'000;

template <int Level, int Name>
void set_option(tcp::socket& socket, int value)
{
    error_code ec;
    socket.set_option(asio::detail::socket_option::integer<Level, Name>(value), ec);
}

ssize_t peek(tcp::socket& socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

} // namespace

void set_tcp_options(tcp::socket& socket)
{
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    set_option<IPPROTO_TCP, TCP_KEEPIDLE>(socket, keep_alive_idle_s);
    set_option<IPPROTO_TCP, TCP_KEEPINTVL>(socket, keep_alive_interval_s);
    set_option<IPPROTO_TCP, TCP_KEEPCNT>(socket, keep_alive_probes);
    set_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(socket, user_timeout_ms);
}

bool has_pending_input(tcp::socket& socket)
{
    return peek(socket) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool peer_closed(tcp::socket& socket)
{
    const ssize_t n = peek(socket);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace lagoonferry
