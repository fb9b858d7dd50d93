#pragma once

#include "net/http_types.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoonferry::soak {

/// Responds to one request on a connection. Returns whether the connection stays open.
using request_handler = std::function<asio::awaitable<bool>(tcp::socket& socket, const http_request& request)>;

/// Accepts connections on `ip` and a free port, and passes their requests to `handler` until the loop stops. Returns
/// "IP:PORT". Not thread-safe.
std::string serve_http(const asio::any_io_executor& loop, const std::string& ip, request_handler handler);

/// Sends a complete response. Returns false if the peer has closed the connection.
asio::awaitable<bool> send_response(tcp::socket& socket, unsigned status, std::string_view extra_headers,
                                    std::string_view body);

/// Sends raw bytes. Returns false if the peer has closed the connection.
asio::awaitable<bool> send_bytes(tcp::socket& socket, std::string_view bytes);

/// Closes a connection with a TCP reset.
void reset_connection(tcp::socket& socket);

} // namespace lagoonferry::soak
