#include "net/request_server.h"

#include "net/listener.h"
#include "net/pause.h"
#include "net/socket_options.h"
#include "net/spawn.h"
#include "util/log.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace lagoonferry {

namespace {

/// Idle connections are closed after this time; clients close theirs earlier.
constexpr std::chrono::seconds idle_timeout{60};

/// Timeout of a request's arrival after its first byte, and of writing a response.
constexpr std::chrono::seconds transfer_timeout{5};

/// Limit on the body of a request, in bytes.
constexpr std::uint64_t max_body_bytes = 16'777'216;

constexpr int accept_backlog = 512;
constexpr std::size_t max_connections = 2'048;
constexpr std::chrono::milliseconds accept_pause{20};

} // namespace

request_server::request_server(asio::any_io_executor loop, handler handle)
    : m_loop(std::move(loop)), m_handle(std::move(handle))
{
}

bool request_server::listen(const std::string& ip, std::uint16_t port)
{
    auto acceptor = open_listener(m_loop, ip, port, accept_backlog);
    if (!acceptor) {
        return false;
    }
    m_port = acceptor->local_endpoint().port();
    spawn(m_loop, accept(std::move(*acceptor)), "listener");
    return true;
}

asio::awaitable<void> request_server::accept(tcp::acceptor acceptor)
{
    while (true) {
        auto [ec, socket] = co_await acceptor.async_accept(use_nothrow_awaitable);
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec || m_connections >= max_connections) {
            log(log_part::peer, log_level::warning, "A connection cannot be accepted.", field("reason", ec.message()),
                field("open", m_connections));
            co_await pause(m_loop, accept_pause);
            continue;
        }
        spawn(m_loop, serve(std::move(socket)), "peer connection");
    }
}

asio::awaitable<void> request_server::serve(tcp::socket socket)
{
    ++m_connections;
    set_tcp_options(socket);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buf;
    bool keep_alive = true;
    while (keep_alive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        stream.expires_after(idle_timeout);
        const auto [ec, n] = co_await http::async_read_header(stream, buf, parser, use_nothrow_awaitable);
        if (ec) {
            break;
        }
        stream.expires_after(transfer_timeout);
        const auto [body_ec, body_n] = co_await http::async_read(stream, buf, parser, use_nothrow_awaitable);
        if (body_ec) {
            log(log_part::peer, log_level::warning, "A request of another process could not be read.",
                field("reason", body_ec.message()));
            break;
        }
        const http_request request = parser.release();
        keep_alive = request.keep_alive();
        server_response response = co_await m_handle(request);
        http::response<http::string_body> out{static_cast<http::status>(response.status), 11};
        out.body() = std::move(response.body);
        out.keep_alive(keep_alive);
        out.prepare_payload();
        stream.expires_after(transfer_timeout);
        const auto [write_ec, write_n] = co_await http::async_write(stream, out, use_nothrow_awaitable);
        keep_alive = keep_alive && !write_ec;
    }
    --m_connections;
}

} // namespace lagoonferry
