#include "http_test_server.h"

#include "net/spawn.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

namespace lagoonferry::soak {

namespace {

asio::awaitable<void> serve_connection(tcp::socket socket, std::shared_ptr<request_handler> handler)
{
    beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive && socket.is_open()) {
        http_request request;
        const auto [ec, n] = co_await http::async_read(socket, buffer, request, use_nothrow_awaitable);
        if (ec) {
            break;
        }
        keep_alive = co_await (*handler)(socket, request);
    }
    error_code ec;
    socket.close(ec);
}

asio::awaitable<void> accept_connections(std::shared_ptr<tcp::acceptor> acceptor,
                                         std::shared_ptr<request_handler> handler)
{
    while (true) {
        auto [ec, socket] = co_await acceptor->async_accept(use_nothrow_awaitable);
        if (ec) {
            co_return;
        }
        const auto loop = acceptor->get_executor();
        spawn(loop, serve_connection(std::move(socket), handler), "connection");
    }
}

} // namespace

std::string serve_http(const asio::any_io_executor& loop, const std::string& ip, request_handler handler)
{
    const tcp::endpoint any_port(asio::ip::make_address(ip), 0);
    const auto acceptor = std::make_shared<tcp::acceptor>(loop, any_port);
    const std::string address = ip + ":" + std::to_string(acceptor->local_endpoint().port());
    spawn(loop, accept_connections(acceptor, std::make_shared<request_handler>(std::move(handler))), "listener");
    return address;
}

asio::awaitable<bool> send_bytes(tcp::socket& socket, std::string_view bytes)
{
    const auto [ec, n] = co_await asio::async_write(socket, asio::buffer(bytes), use_nothrow_awaitable);
    co_return !ec;
}

asio::awaitable<bool> send_response(tcp::socket& socket, unsigned status, std::string_view extra_headers,
                                    std::string_view body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " S\r\n" + std::string(extra_headers) +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    co_return co_await send_bytes(socket, out);
}

void reset_connection(tcp::socket& socket)
{
    error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace lagoonferry::soak
