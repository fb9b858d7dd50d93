#pragma once

#include "gateway/gateway_context.h"
#include "gateway/response_writer.h"

#include <boost/beast/http/parser.hpp>

#include <memory>
#include <string>

namespace lagoonferry {

class exchange;

/// Which requests a listener of the gateway serves.
enum class listener_kind {
    callers, ///< requests that are forwarded to targets by the routing document
    local,   ///< readiness, address lookup and metrics
    peers,   ///< requests of other gateways for the routing document
};

/// One connection of a caller. Requests are served one after the other; when the caller disconnects, the request in
/// progress is cancelled. Runs on one event loop; not thread-safe.
class client_session final : public std::enable_shared_from_this<client_session>, public response_writer {
public:
    client_session(gateway_context& context, tcp::socket socket, listener_kind kind);
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;
    ~client_session() override;

    /// Serves until the connection ends.
    static asio::awaitable<void> serve(std::shared_ptr<client_session> self);

private:
    asio::awaitable<void> run();
    asio::awaitable<bool> read_request(http_request& out);
    asio::awaitable<void> serve_caller(const http_request& request);
    asio::awaitable<void> serve_peer(const http_request& request);
    asio::awaitable<void> serve_local(const http_request& request);
    asio::awaitable<void> send_metrics(http_fields fields);
    static asio::awaitable<void> watch_for_close(std::shared_ptr<client_session> self, std::weak_ptr<exchange> running);
    asio::awaitable<void> respond_bad_request(error_code reason);
    asio::awaitable<void> refuse_unread(unsigned status, std::string_view text);

    asio::awaitable<bool> send_response(unsigned status, http_fields fields, std::string_view body) override;
    asio::awaitable<bool> start_stream(unsigned status, http_fields fields, std::string_view first) override;
    asio::awaitable<bool> send_data(std::string_view bytes) override;
    asio::awaitable<bool> end_stream(std::string_view last) override;
    void abort_stream() override;
    asio::awaitable<bool> write(std::string_view bytes, std::string_view more = {});
    std::string response_header(unsigned status, const http_fields& fields, std::string_view framing) const;
    std::string lookup_response(const http_request& request) const;

    gateway_context& m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    listener_kind m_kind;
    bool m_keep_alive = true;    ///< the connection stays open after the present response
    bool m_head_request = false; ///< a HEAD request: the response has no body
    bool m_chunked = true;       ///< the caller supports chunked transfer encoding (HTTP/1.1)
};

/// Accepts connections on `address` until the process ends. Logs an error and returns false if it cannot listen.
bool listen_for_sessions(gateway_context& context, const listen_address& address, listener_kind kind);

} // namespace lagoonferry
