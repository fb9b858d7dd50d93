#pragma once

#include "peer/datagram_codec.h"
#include "peer/network_address.h"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace lagoonferry {

class cluster_key;
class datagram_socket;

/// Encodes and sends datagrams of one process and counts them. Thread-safe.
class datagram_sender {
public:
    /// `socket` and `key` outlive this object.
    datagram_sender(const datagram_socket& socket, const cluster_key& key, std::string self);

    /// Sends one message; it may be lost.
    void send(const network_address& to, datagram_kind kind, const nlohmann::json& body);

    std::uint64_t datagrams() const { return m_datagrams; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    const datagram_socket& m_socket;
    const cluster_key& m_key;
    std::string m_self;
    std::atomic<std::uint64_t> m_datagrams{0};
    std::atomic<std::uint64_t> m_bytes{0};
};

} // namespace lagoonferry
