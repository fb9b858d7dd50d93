#pragma once

#include "peer/network_address.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace lagoonferry {

/// A datagram and its source address.
struct received_datagram {
    network_address from;
    std::vector<std::byte> bytes;
};

/// A bound UDP socket. `send` may be called from several threads; `receive` from one thread.
class datagram_socket {
public:
    /// Binds to `address`; port 0 selects a free port. Returns nothing if the address cannot be bound.
    static std::optional<datagram_socket> bind(const network_address& address);

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&& other) noexcept;
    datagram_socket& operator=(datagram_socket&& other) noexcept;
    ~datagram_socket();

    /// The bound address, with the selected port.
    const network_address& local_address() const { return m_local; }

    /// Sends one datagram without blocking. Returns false if the operating system rejects it; true does not mean that
    /// it was delivered.
    bool send(const network_address& to, std::span<const std::byte> bytes) const;

    /// Waits up to `timeout` for one datagram. Returns nothing after the timeout or on an error.
    std::optional<received_datagram> receive(std::chrono::milliseconds timeout) const;

private:
    datagram_socket(int fd, network_address local) : m_fd(fd), m_local(std::move(local)) {}

    int m_fd = -1;
    network_address m_local;
};

} // namespace lagoonferry
