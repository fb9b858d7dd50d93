#include "gateway/client_session.h"

#include "gateway/exchange.h"
#include "membership/address_lookup.h"
#include "net/listener.h"
#include "net/pause.h"
#include "net/socket_options.h"
#include "net/spawn.h"
#include "util/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Length of the accept queue. A burst of callers must not overflow it: a dropped connection attempt is retried by TCP
/// only a second later.
constexpr int accept_backlog = 1'024;

/// File descriptors reserved for files, datagrams, the store and targets.
constexpr std::size_t reserved_descriptors = 700;

/// Timeout of a write to a caller; after it the caller counts as disconnected.
constexpr milliseconds write_timeout{5'000};

/// Timeout for the body of a request after its header.
constexpr milliseconds body_timeout{10'000};

/// Pause after a failure to accept a connection.
constexpr milliseconds accept_pause{20};

/// Time to live of an address lookup response. Callers may use it three times as long, and a stopping gateway must keep
/// serving for that time.
constexpr milliseconds address_ttl{2'000};

/// Addresses in one lookup response; the limit of the platform.
constexpr std::size_t max_addresses = 64;

milliseconds idle_timeout(const gateway_context& context)
{
    return context.routes ? context.routes->document().limits.idle_timeout : caller_limits{}.idle_timeout;
}

/// Counts a request as active during its lifetime.
class active_request_guard {
public:
    explicit active_request_guard(gateway_context& context) : m_context(context) { ++m_context.active_requests; }
    active_request_guard(const active_request_guard&) = delete;
    active_request_guard& operator=(const active_request_guard&) = delete;
    ~active_request_guard() { --m_context.active_requests; }

private:
    gateway_context& m_context;
};

std::string chunk(std::string_view bytes)
{
    std::array<char, 16> size{};
    const auto [end, ec] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    std::string out(size.data(), end);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
    return out;
}

} // namespace

client_session::client_session(gateway_context& context, tcp::socket socket, listener_kind kind)
    : m_context(context), m_stream(std::move(socket)), m_kind(kind)
{
    ++m_context.caller_connections;
}

client_session::~client_session()
{
    --m_context.caller_connections;
}

asio::awaitable<void> client_session::serve(std::shared_ptr<client_session> self)
{
    co_await self->run();
}

asio::awaitable<void> client_session::run()
{
    set_tcp_options(m_stream.socket());
    while (m_keep_alive && m_stream.socket().is_open()) {
        http_request request;
        if (!co_await read_request(request)) {
            break;
        }
        m_keep_alive = request.keep_alive();
        m_chunked = request.version() >= 11;
        m_head_request = request.method() == http::verb::head;
        const active_request_guard guard(m_context);
        if (m_kind == listener_kind::callers) {
            co_await serve_caller(request);
        }
        else if (m_kind == listener_kind::peers) {
            co_await serve_peer(request);
        }
        else {
            co_await serve_local(request);
        }
    }
    error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    m_stream.socket().close(ec);
}

asio::awaitable<bool> client_session::read_request(http_request& out)
{
    const caller_limits limits = m_context.routes ? m_context.routes->document().limits : caller_limits{};
    if (m_buffer.size() == 0) {
        constexpr std::size_t first_read_bytes = 8'192;
        m_stream.expires_after(idle_timeout(m_context));
        const auto [ec, n] =
            co_await m_stream.async_read_some(m_buffer.prepare(first_read_bytes), use_nothrow_awaitable);
        if (ec) {
            co_return false;
        }
        m_buffer.commit(n);
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    m_stream.expires_after(limits.header_timeout);
    const auto [head_ec, head_n] = co_await http::async_read_header(m_stream, m_buffer, parser, use_nothrow_awaitable);
    if (head_ec) {
        co_await respond_bad_request(head_ec);
        co_return false;
    }
    const auto coding = parser.get()[http::field::transfer_encoding];
    if (!coding.empty() && !beast::iequals(coding, "chunked")) {
        // Without a last coding of chunked the end of the body is not known. Other codings are not decoded.
        co_await refuse_unread(parser.chunked() ? 501 : 400, "unsupported transfer coding");
        co_return false;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        if (!co_await write("HTTP/1.1 100 Continue\r\n\r\n")) {
            co_return false;
        }
    }
    m_stream.expires_after(body_timeout);
    const auto [body_ec, body_n] = co_await http::async_read(m_stream, m_buffer, parser, use_nothrow_awaitable);
    if (body_ec) {
        co_await respond_bad_request(body_ec);
        co_return false;
    }
    out = parser.release();
    co_return true;
}

asio::awaitable<void> client_session::respond_bad_request(error_code reason)
{
    m_keep_alive = false;
    unsigned status = 400;
    if (reason == http::error::end_of_stream || reason == http::error::partial_message ||
        reason == asio::error::connection_reset || reason == asio::error::operation_aborted) {
        co_return;
    }
    if (reason == http::error::header_limit) {
        status = 431;
    }
    else if (reason == http::error::body_limit) {
        status = 413;
    }
    else if (reason == beast::error::timeout) {
        status = 408;
    }
    const std::string text = reason.message();
    co_await refuse_unread(status, text);
}

// A request that cannot be read is not forwarded, and its connection is closed.
asio::awaitable<void> client_session::refuse_unread(unsigned status, std::string_view text)
{
    m_keep_alive = false;
    log(log_part::entry, log_level::warning, "A request could not be read.", field("status", status),
        field("reason", text));
    http_fields none;
    co_await send_response(status, std::move(none), text);
}

asio::awaitable<void> client_session::serve_caller(const http_request& request)
{
    const auto running = std::make_shared<exchange>(m_context, request, *this);
    spawn(m_context.loop, watch_for_close(shared_from_this(), running), "disconnect watch");
    co_await running->run();
    if (m_stream.socket().is_open()) {
        error_code ec;
        m_stream.socket().cancel(ec); // ends watch_for_close
    }
}

asio::awaitable<void> client_session::watch_for_close(std::shared_ptr<client_session> self,
                                                      std::weak_ptr<exchange> running)
{
    if (self->m_buffer.size() > 0) {
        co_return; // the next request is already buffered, so the caller is still connected
    }
    tcp::socket& socket = self->m_stream.socket();
    const auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, use_nothrow_awaitable);
    const auto present = running.lock();
    if (!ec && present && socket.is_open() && peer_closed(socket)) {
        self->m_keep_alive = false;
        present->abort();
    }
}

asio::awaitable<void> client_session::serve_peer(const http_request& request)
{
    http_fields fields;
    const bool known = m_context.routes != nullptr && to_std(request.target()) == document_path;
    const std::string body = known ? m_context.document_text : std::string{};
    co_await send_response(known ? 200 : 404, fields, body);
}

asio::awaitable<void> client_session::serve_local(const http_request& request)
{
    const std::string_view target = to_std(request.target());
    http_fields fields;
    switch (m_context.adapter.local_endpoint_of(to_std(request.method_string()), target)) {
    case local_endpoint::readiness: {
        const bool ready = !m_context.stop.stopping() && m_context.routes != nullptr;
        co_await send_response(ready ? 200 : 503, fields, "");
        break;
    }
    case local_endpoint::lookup:
        if (m_context.routes == nullptr) {
            co_await send_response(503, fields, "no routing document is known");
        }
        else {
            fields.set(http::field::content_type, "application/json");
            const std::string body = lookup_response(request);
            co_await send_response(200, fields, body);
        }
        break;
    case local_endpoint::metrics:
        fields.set(http::field::content_type, "text/plain; version=0.0.4");
        co_await send_metrics(fields);
        break;
    case local_endpoint::none:
        co_await send_response(404, fields, "no such call");
        break;
    }
}

asio::awaitable<void> client_session::send_metrics(http_fields fields)
{
    m_context.metrics.set_targets(m_context.targets.size());
    m_context.metrics.set_connections(m_context.caller_connections, m_context.pool.size());
    m_context.metrics.set_document(m_context.routes ? m_context.routes->document().version : 0,
                                   steady_now() - m_context.document_response_at);
    const std::string body = m_context.metrics.text();
    co_await send_response(200, std::move(fields), body);
}

std::string client_session::lookup_response(const http_request& request) const
{
    const std::string_view target = to_std(request.target());
    address_lookup lookup(std::min(address_ttl, m_context.settings.max_address_ttl));
    lookup.update(m_context.fleet.usable());
    // Callers close connections to addresses that are missing from a new response, so all gateways must return the same
    // addresses.
    const address_response response =
        lookup.order(m_context.adapter.caller_host(target), m_context.adapter.caller_domain(target), max_addresses);
    return m_context.adapter.lookup_body(response.addresses, response.ttl);
}

std::string client_session::response_header(unsigned status, const http_fields& fields, std::string_view framing) const
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += to_std(http::obsolete_reason(static_cast<http::status>(status)));
    out += "\r\n";
    for (const auto& item : fields) {
        out += to_std(item.name_string());
        out += ": ";
        out += to_std(item.value());
        out += "\r\n";
    }
    out += framing;
    out += m_keep_alive ? "" : "Connection: close\r\n";
    out += "\r\n";
    return out;
}

asio::awaitable<bool> client_session::write(std::string_view bytes, std::string_view more)
{
    const std::array buffers{asio::buffer(bytes), asio::buffer(more)};
    m_stream.expires_after(write_timeout);
    const auto [ec, n] = co_await asio::async_write(m_stream, buffers, use_nothrow_awaitable);
    if (ec) {
        m_keep_alive = false;
    }
    co_return !ec;
}

asio::awaitable<bool> client_session::send_response(unsigned status, http_fields fields, std::string_view body)
{
    m_keep_alive = m_keep_alive && !m_context.stop.stopping();
    const std::string header =
        response_header(status, fields, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    co_return co_await write(header, m_head_request ? std::string_view{} : body);
}

asio::awaitable<bool> client_session::start_stream(unsigned status, http_fields fields, std::string_view first)
{
    m_keep_alive = m_keep_alive && m_chunked && !m_context.stop.stopping();
    std::string out = response_header(status, fields, m_chunked ? "Transfer-Encoding: chunked\r\n" : "");
    out += m_chunked ? chunk(first) : std::string(first);
    co_return co_await write(out);
}

asio::awaitable<bool> client_session::send_data(std::string_view bytes)
{
    const std::string out = m_chunked ? chunk(bytes) : std::string(bytes);
    co_return co_await write(out);
}

asio::awaitable<bool> client_session::end_stream(std::string_view last)
{
    std::string out = m_chunked && !last.empty() ? chunk(last) : std::string(last);
    out += m_chunked ? "0\r\n\r\n" : "";
    co_return out.empty() || co_await write(out);
}

void client_session::abort_stream()
{
    m_keep_alive = false;
    // A TCP reset, so that a response without a length does not look complete.
    error_code ec;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    m_stream.socket().close(ec);
}

namespace {

asio::awaitable<void> accept_sessions(gateway_context& context, tcp::acceptor acceptor, listener_kind kind)
{
    const std::size_t max_connections = context.settings.max_descriptors > 2 * reserved_descriptors
                                            ? context.settings.max_descriptors - reserved_descriptors
                                            : context.settings.max_descriptors / 2;
    while (true) {
        auto [ec, socket] = co_await acceptor.async_accept(use_nothrow_awaitable);
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            // Out of file descriptors, or the caller has disconnected already. The pause prevents a busy loop.
            log(log_part::entry, log_level::warning, "A connection cannot be accepted.", field("reason", ec.message()));
            co_await pause(context.loop, accept_pause);
            continue;
        }
        if (context.caller_connections >= max_connections) {
            log(log_part::entry, log_level::warning, "Connection limit reached; closing a new connection.",
                field("open", context.caller_connections));
            continue;
        }
        const auto session = std::make_shared<client_session>(context, std::move(socket), kind);
        spawn(context.loop, client_session::serve(session), "caller session");
    }
}

} // namespace

bool listen_for_sessions(gateway_context& context, const listen_address& address, listener_kind kind)
{
    auto acceptor = open_listener(context.loop, address.ip, address.port, accept_backlog);
    if (!acceptor) {
        return false;
    }
    spawn(context.loop, accept_sessions(context, std::move(*acceptor), kind), "listener");
    return true;
}

} // namespace lagoonferry
