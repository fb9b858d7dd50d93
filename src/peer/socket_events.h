#pragma once

#include <chrono>
#include <string>

namespace lagoonferry {

/// Waits with poll(2) for one of `events` on a socket. Returns the events that occurred, or 0 after `timeout` or on an
/// error. Thread-safe.
short wait_for_event(int socket, short events, std::chrono::milliseconds timeout);

/// Stores the remote address of a connected IPv4 socket in `ip` and `port`; on an error they stay as they are.
/// Thread-safe.
void read_remote_address(int socket, std::string& ip, int& port);

/// Stores the local address of an IPv4 socket in `ip` and `port`; on an error they stay as they are. Thread-safe.
void read_local_address(int socket, std::string& ip, int& port);

} // namespace lagoonferry
