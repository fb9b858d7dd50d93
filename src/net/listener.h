#pragma once

#include "net/http_types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

/// Opens a listening TCP socket with an accept queue of `backlog` connections. Logs an error and returns nothing if the
/// address cannot be used.
std::optional<tcp::acceptor> open_listener(const asio::any_io_executor& loop, const std::string& ip, std::uint16_t port,
                                           int backlog);

} // namespace lagoonferry
