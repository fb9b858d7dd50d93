#pragma once

#include "net/http_types.h"

namespace lagoonferry {

/// Sets the options of a connection that may go silent without a reset: no delay, and an end of the connection when
/// bytes or keep-alive probes have no answer for some seconds. Errors are ignored: the options only shorten the time
/// until a dead connection is noticed.
void set_tcp_options(tcp::socket& socket);

/// Returns whether the other side has closed or reset the connection, or has sent bytes that nobody waits for. Does not
/// read anything.
bool has_pending_input(tcp::socket& socket);

/// Returns whether the other side has closed or reset the connection. Does not read anything.
bool peer_closed(tcp::socket& socket);

} // namespace lagoonferry
