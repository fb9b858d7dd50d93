#include "peer/bounded_server.h"

#include "peer/bounded_thread_pool.h"

#include <string_view>

#include <sys/socket.h>
#include <unistd.h>

namespace lagoonferry {

namespace {

// A stop waits this long for idle connections; with 30 s a planned stop took longer than 20 s after its last request.
constexpr timestamp longest_idle = std::chrono::seconds(3);

// An idle connection keeps its thread this long while others wait for one, because a request may be on its way.
constexpr timestamp shortest_idle = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds idle_check{100};

constexpr std::string_view refusal =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Type: application/json\r\n"
    "Content-Length: 113\r\n\r\n"
    R"({"error":{"code":202,"name":"overloaded","message":"too many connections","run":"not_run","retry_after_ms":1000}})";

static_assert(refusal.size() - refusal.find('{') == 113);

} // namespace

bounded_server::bounded_server(std::size_t threads, std::size_t max_queued, const request_limits& limits)
    : m_limits(limits)
{
    new_task_queue = [this, threads, max_queued] {
        auto* pool = new bounded_thread_pool(threads, max_queued);
        m_pool = pool;
        return pool;
    };
}

bool bounded_server::process_and_close_socket(int socket)
{
    if (bounded_thread_pool::is_overflow_task()) {
        // The accepting thread must not wait.
        ::send(socket, refusal.data(), refusal.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    else {
        serve(socket);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

void bounded_server::serve(int socket)
{
    request_stream stream(socket, m_limits);
    bool open = true;
    while (open && wait_for_request(stream)) {
        stream.begin_request();
        bool closed = false;
        open = process_request(stream, !is_running(), closed, nullptr) && !closed;
    }
}

bool bounded_server::wait_for_request(const request_stream& stream) const
{
    const timestamp begun = steady_now();
    while (!stream.wait_for_request(idle_check)) {
        const timestamp idle = steady_now() - begun;
        const bool give_way = idle >= shortest_idle && m_pool.load()->has_queued_tasks();
        if (!is_running() || give_way || idle >= longest_idle) {
            return false;
        }
    }
    return true;
}

} // namespace lagoonferry
