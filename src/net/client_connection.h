#pragma once

#include "net/http_types.h"
#include "net/loop_deadline.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <string>

namespace lagoonferry {

/// One HTTP/1.1 connection to a target or to the store. Requests follow one another; their answers are read with
/// `response_reader`. Runs on one event loop; not thread-safe.
class client_connection {
public:
    explicit client_connection(asio::any_io_executor loop);

    /// Connects, or fails at the deadline. Call once, first.
    asio::awaitable<error_code> connect(const tcp::endpoint& to, deadline until);

    /// Sends a whole request. An error means that any part of it may have arrived.
    asio::awaitable<error_code> send(const http_request& request, deadline until);

    /// Closes the connection at once. Waiting operations fail.
    void close();

    bool is_open() const { return m_stream.socket().is_open(); }

    /// Returns whether the next request may be sent: nothing is left to read and the other side has not closed.
    bool is_reusable();

    loop_clock::time_point idle_since{};
    std::chrono::milliseconds idle_timeout{0}; ///< the other side may close after this time without a request

private:
    friend class response_reader;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
};

/// Reads one answer from a connection, first its head and then its body in pieces.
class response_reader {
public:
    explicit response_reader(client_connection& connection) : m_connection(connection) {}

    /// Reads the head. Interim (1xx) answers are skipped.
    asio::awaitable<error_code> read_header(deadline until);

    /// Appends the next bytes of the body to `out`. Precondition: the head was read and `done()` is false.
    asio::awaitable<error_code> read_some(std::string& out, deadline until);

    /// Appends the whole rest of the body to `out`, at most `limit` bytes in all.
    asio::awaitable<error_code> read_remaining(std::string& out, std::size_t limit, deadline until);

    bool done() const { return m_parser && m_parser->is_done(); }
    unsigned status() const { return m_parser->get().result_int(); }
    const http_fields& fields() const { return m_parser->get(); }

    /// Returns whether the connection may be used again after this answer.
    bool allows_reuse() const { return done() && m_parser->get().keep_alive() && !m_parser->need_eof(); }

    /// Returns whether any byte of an answer arrived.
    bool has_received_bytes() const { return m_got_bytes; }

private:
    static constexpr std::size_t piece_bytes = 8'192;
    static constexpr std::uint32_t head_limit_bytes = 32'768;

    client_connection& m_connection;
    std::unique_ptr<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, piece_bytes> m_piece{};
    bool m_got_bytes = false;
};

} // namespace lagoonferry
