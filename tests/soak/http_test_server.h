#pragma once

#include "net/http_types.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoonferry::soak {

/// Answers one request on a connection. Returns whether the connection may be kept.
using request_handler = std::function<asio::awaitable<bool>(tcp::socket& socket, const http_request& request)>;

/// Accepts connections on `ip` and a free port, and passes their requests to `handler` until the loop stops. Returns
/// "IP:PORT". Not thread-safe.
std::string serve_http(const asio::any_io_executor& loop, const std::string& ip, request_handler handler);

/// Sends a whole answer. Returns false when the other side is gone.
asio::awaitable<bool> send_response(tcp::socket& socket, unsigned status, std::string_view more_fields,
                                    std::string_view body);

/// Sends bytes as they are. Returns false when the other side is gone.
asio::awaitable<bool> send_bytes(tcp::socket& socket, std::string_view bytes);

/// Ends a connection with a reset.
void reset_connection(tcp::socket& socket);

} // namespace lagoonferry::soak
