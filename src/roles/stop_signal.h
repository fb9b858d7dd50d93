#pragma once

namespace lagoonferry {

/// Blocks SIGTERM and SIGINT in this thread and those it starts, and ignores SIGPIPE. Call before other threads start.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT and returns its number.
int wait_for_stop_signal();

/// Makes `wait_for_stop_signal` return as after a SIGTERM. Thread-safe.
void request_stop();

} // namespace lagoonferry
