#pragma once

#include "net/http_types.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lagoonferry {

/// A complete response of a `request_server`.
struct server_response {
    unsigned status = 200;
    std::string body;
};

/// Serves the calls of other processes of this system: small requests with complete responses on kept connections.
/// Callers of the system are served by `client_session`. Runs on one event loop; not thread-safe.
class request_server {
public:
    using handler = std::function<asio::awaitable<server_response>(const http_request& request)>;

    /// `handle` is called for each request until the process ends; requests of different connections overlap.
    request_server(asio::any_io_executor loop, handler handle);

    /// Starts to listen. Logs an error and returns false if the port cannot be opened. The server must outlive the
    /// event loop's run.
    bool listen(const std::string& ip, std::uint16_t port);

    /// Returns the port that `listen` has opened.
    std::uint16_t port() const { return m_port; }

private:
    asio::awaitable<void> accept(tcp::acceptor acceptor);
    asio::awaitable<void> serve(tcp::socket socket);

    asio::any_io_executor m_loop;
    handler m_handle;
    std::uint16_t m_port = 0;
    std::size_t m_connections = 0;
};

} // namespace lagoonferry
