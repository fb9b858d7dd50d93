#pragma once

#include "net/http_types.h"

namespace lagoonferry {

/// Disables Nagle's algorithm, and closes the connection when sent bytes or keep-alive probes are not acknowledged for
/// some seconds. A host that fails sends no reset, so a dead connection would otherwise go unnoticed for long. Errors
/// are ignored, because the options only shorten the time until a dead connection is detected.
void set_tcp_options(tcp::socket& socket);

/// Returns whether the other side has closed or reset the connection, or has sent bytes that are not read yet. Consumes
/// no bytes.
bool has_pending_input(tcp::socket& socket);

/// Returns whether the other side has closed or reset the connection. Consumes no bytes.
bool peer_closed(tcp::socket& socket);

} // namespace lagoonferry
