#include "net/client_connection.h"

#include "net/socket_options.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <limits>

namespace lagoonferry {

client_connection::client_connection(asio::any_io_executor loop) : m_stream(std::move(loop)) {}

asio::awaitable<error_code> client_connection::connect(const tcp::endpoint& to, deadline until)
{
    m_stream.expires_at(until);
    const auto [ec] = co_await m_stream.async_connect(to, use_nothrow_awaitable);
    if (!ec) {
        set_tcp_options(m_stream.socket());
    }
    co_return ec;
}

asio::awaitable<error_code> client_connection::send(const http_request& request, deadline until)
{
    ++m_sent_requests;
    m_stream.expires_at(until);
    const auto [ec, n] = co_await http::async_write(m_stream, request, use_nothrow_awaitable);
    co_return ec;
}

void client_connection::close()
{
    error_code ec;
    m_stream.socket().close(ec);
}

bool client_connection::is_reusable()
{
    return is_open() && m_buffer.size() == 0 && !has_pending_input(m_stream.socket());
}

asio::awaitable<error_code> response_reader::read_header(deadline until)
{
    constexpr unsigned first_status = 100;
    constexpr unsigned first_final_status = 200;
    for (int n = 0; n <= max_interim_responses; ++n) {
        m_parser = std::make_unique<http::response_parser<http::buffer_body>>();
        m_parser->header_limit(max_response_header_bytes);
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        m_connection.m_stream.expires_at(until);
        const auto [ec, size] = co_await http::async_read_header(m_connection.m_stream, m_connection.m_buffer,
                                                                 *m_parser, use_nothrow_awaitable);
        m_has_received_bytes = m_has_received_bytes || size > 0 || m_connection.m_buffer.size() > 0;
        if (ec || status() >= first_final_status) {
            co_return ec;
        }
        if (status() < first_status) {
            break;
        }
    }
    co_return http::make_error_code(http::error::bad_status);
}

asio::awaitable<error_code> response_reader::read_some(std::string& out, deadline until)
{
    // The timer of the stream does not end an operation whose bytes are there already.
    if (loop_clock::now() >= until) {
        co_return beast::error::timeout;
    }
    auto& body = m_parser->get().body();
    body.data = m_chunk.data();
    body.size = m_chunk.size();
    body.more = true;
    m_connection.m_stream.expires_at(until);
    auto [ec, n] =
        co_await http::async_read_some(m_connection.m_stream, m_connection.m_buffer, *m_parser, use_nothrow_awaitable);
    out.append(m_chunk.data(), m_chunk.size() - body.size);
    if (ec == http::error::need_buffer) {
        ec = {};
    }
    co_return ec;
}

asio::awaitable<error_code> response_reader::read_remaining(std::string& out, std::size_t limit, deadline until)
{
    while (!done()) {
        const error_code ec = co_await read_some(out, until);
        if (ec) {
            co_return ec;
        }
        if (out.size() > limit) {
            co_return http::make_error_code(http::error::body_limit);
        }
    }
    co_return error_code{};
}

asio::awaitable<error_code> response_reader::read_remaining(std::string& out, std::size_t limit, buffer_share& share,
                                                            deadline until)
{
    // A body that cannot be held is not read at all if its length is known.
    const auto length = m_parser->content_length_remaining();
    if (length && *length > limit) {
        co_return http::make_error_code(http::error::body_limit);
    }
    if (length && *length > share.limit()) {
        co_return asio::error::no_buffer_space;
    }
    while (!done()) {
        const error_code ec = co_await read_some(out, until);
        if (ec) {
            co_return ec;
        }
        if (out.size() > limit) {
            co_return http::make_error_code(http::error::body_limit);
        }
        if (!share.resize(out.capacity())) {
            co_return asio::error::no_buffer_space;
        }
    }
    co_return error_code{};
}

asio::awaitable<error_code> response_reader::skip_remaining(std::size_t limit, deadline until)
{
    std::string piece;
    std::size_t skipped = 0;
    while (!done()) {
        piece.clear();
        const error_code ec = co_await read_some(piece, until);
        if (ec) {
            co_return ec;
        }
        skipped += piece.size();
        if (skipped > limit) {
            co_return http::make_error_code(http::error::body_limit);
        }
    }
    co_return error_code{};
}

} // namespace lagoonferry
