#pragma once

#include <chrono>
#include <string>

namespace lagoonferry {

/// Waits for one of `events` of poll(2) on a socket. Returns those that are there, or 0 after `wait`. Thread-safe.
short wait_for_event(int socket, short events, std::chrono::milliseconds wait);

/// Reads the address of the other end of a connected IPv4 socket; leaves both unchanged on an error. Thread-safe.
void read_remote_address(int socket, std::string& ip, int& port);

/// Reads the own address of an IPv4 socket; leaves both unchanged on an error. Thread-safe.
void read_local_address(int socket, std::string& ip, int& port);

} // namespace lagoonferry
