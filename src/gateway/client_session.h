#pragma once

#include "gateway/gateway_context.h"
#include "gateway/response_writer.h"

#include <boost/beast/http/parser.hpp>

#include <memory>
#include <string>

namespace lagoonferry {

class exchange;

/// What a listener of the gateway serves.
enum class listener_kind {
    callers, ///< requests by the routing document
    local,   ///< readiness, addresses and metrics
    peers,   ///< the routing document, for other gateways
};

/// One connection of a caller. Requests follow one another; the end of the connection cancels the work on the present
/// one. Runs on one event loop; not thread-safe.
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
    asio::awaitable<void> answer_bad_request(error_code reason);

    asio::awaitable<bool> send_response(unsigned status, http_fields fields, std::string_view body) override;
    asio::awaitable<bool> start_stream(unsigned status, http_fields fields, std::string_view first) override;
    asio::awaitable<bool> send_data(std::string_view bytes) override;
    asio::awaitable<bool> end_stream(std::string_view last) override;
    void abort_stream() override;
    asio::awaitable<bool> write(std::string_view bytes);
    std::string head(unsigned status, const http_fields& fields, std::string_view framing) const;
    std::string lookup_answer(const http_request& request) const;

    gateway_context& m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    listener_kind m_kind;
    bool m_keep = true;          ///< the connection stays open behind the present answer
    bool m_head_request = false; ///< the answer has no body
    bool m_chunked = true;       ///< the caller takes chunks (HTTP/1.1)
};

/// Accepts connections on `address` until the process ends. Returns false, with a log line, if it cannot listen.
bool listen_for_sessions(gateway_context& context, const listen_address& address, listener_kind kind);

} // namespace lagoonferry
