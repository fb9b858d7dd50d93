#include "listener.h"

#include "elastic_task_queue.h"
#include "server_connection.h"

#include <algorithm>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

namespace lagoonferry::standin {

namespace {

constexpr std::chrono::milliseconds keep_alive_timeout{5'000};
constexpr std::size_t max_threads = 1024;
constexpr int backlog = 1024;

thread_local server_connection* g_current_connection = nullptr;

void set_reuse_address(int socket)
{
    // Does not set SO_REUSEPORT, unlike cpp-httplib by default: a second process on the same port must fail to start.
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

} // namespace

listener::listener()
{
    set_tcp_nodelay(true);
    set_socket_options(set_reuse_address);
    new_task_queue = [] { return new elastic_task_queue(max_threads); };
}

void listener::raise_backlog() const
{
    ::listen(svr_sock_, backlog);
}

void listener::wait_until_running() const
{
    while (!is_running()) {
        std::this_thread::yield();
    }
}

void listener::close_connections()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    std::ranges::for_each(m_connections, [](int socket) { ::shutdown(socket, SHUT_RDWR); });
}

void listener::drop_current_connection()
{
    g_current_connection->drop();
}

bool listener::process_and_close_socket(int socket)
{
    server_connection connection(socket);
    g_current_connection = &connection;
    bool open = add_connection(socket);
    while (open && connection.wait_for_request(keep_alive_timeout)) {
        bool closed = false;
        open = process_request(connection, false, closed, nullptr) && !closed && !connection.dropped();
    }
    g_current_connection = nullptr;
    remove_connection(socket);
    return true;
}

bool listener::add_connection(int socket)
{
    const std::lock_guard lock(m_mutex);
    m_connections.insert(socket);
    return !m_closed;
}

void listener::remove_connection(int socket)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
}

} // namespace lagoonferry::standin
