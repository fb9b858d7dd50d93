#pragma once

#include "net/buffer_quota.h"
#include "net/http_types.h"
#include "net/loop_deadline.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <string>

namespace lagoonferry {

/// One HTTP/1.1 client connection to a target or to the store. Requests are sent one after another, without pipelining;
/// `response_reader` reads their responses. Runs on one event loop; not thread-safe.
class client_connection {
public:
    explicit client_connection(asio::any_io_executor loop);

    /// Connects, or fails at the deadline. Call once, before any other operation.
    asio::awaitable<error_code> connect(const tcp::endpoint& to, deadline until);

    /// Sends a whole request. After an error the other side may have received any part of it, or all.
    asio::awaitable<error_code> send(const http_request& request, deadline until);

    /// Closes the connection at once. Pending operations fail.
    void close();

    bool is_open() const { return m_stream.socket().is_open(); }

    /// Returns whether more than one request was sent. A response without a request id may then belong to an earlier
    /// one.
    bool is_reused() const { return m_sent_requests > 1; }

    /// Returns whether the next request may be sent: no received bytes are unread, and the other side has not closed
    /// the connection.
    bool is_reusable();

    loop_clock::time_point idle_since{};
    std::chrono::milliseconds idle_timeout{0}; ///< the other side may close the connection after this idle time

private:
    friend class response_reader;

    /// Limit on received bytes that are not parsed yet. A chunk extension or a trailer without end would fill the
    /// memory otherwise.
    static constexpr std::size_t max_unparsed_bytes = 65'536;

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{max_unparsed_bytes};
    std::size_t m_sent_requests = 0;
};

/// Reads one response from a connection, first its header and then its body in chunks.
class response_reader {
public:
    explicit response_reader(client_connection& connection) : m_connection(connection) {}

    /// Reads the header. A few interim (1xx) responses are skipped. Fails with `bad_status` after more of them, and
    /// after a status below 100.
    asio::awaitable<error_code> read_header(deadline until);

    /// Appends the next bytes of the body to `out`. Precondition: the header was read and `done()` is false.
    asio::awaitable<error_code> read_some(std::string& out, deadline until);

    /// Appends the rest of the body to `out`. Fails with `body_limit` when `out` gets longer than `limit` bytes.
    asio::awaitable<error_code> read_remaining(std::string& out, std::size_t limit, deadline until);

    /// Appends the rest of the body to `out`, whose memory is taken from `share`. Fails with `body_limit` as above, and
    /// with `no_buffer_space` when the share cannot grow.
    asio::awaitable<error_code> read_remaining(std::string& out, std::size_t limit, buffer_share& share,
                                               deadline until);

    /// Reads the rest of the body without keeping it. Fails with `body_limit` after more than `limit` bytes.
    asio::awaitable<error_code> skip_remaining(std::size_t limit, deadline until);

    bool done() const { return m_parser && m_parser->is_done(); }
    unsigned status() const { return m_parser->get().result_int(); }
    const http_fields& fields() const { return m_parser->get(); }

    /// Returns whether the response is complete and lets the connection carry another request.
    bool allows_reuse() const { return done() && m_parser->get().keep_alive() && !m_parser->need_eof(); }

    /// Returns whether any byte of a response was received.
    bool has_received_bytes() const { return m_has_received_bytes; }

private:
    static constexpr std::size_t chunk_bytes = 8'192;
    static constexpr std::uint32_t max_response_header_bytes = 32'768;
    static constexpr int max_interim_responses = 8;

    client_connection& m_connection;
    std::unique_ptr<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, chunk_bytes> m_chunk{};
    bool m_has_received_bytes = false;
};

} // namespace lagoonferry
