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

/// Encodes, sends and counts the datagrams of one process. Thread-safe.
class datagram_sender {
public:
    /// `sender_id` is the id of this process. `socket` and `key` must outlive this object.
    datagram_sender(const datagram_socket& socket, const cluster_key& key, std::string sender_id);

    /// Sends one message. Delivery is not guaranteed, and errors are not reported.
    void send(const network_address& to, datagram_kind kind, const nlohmann::json& body);

    /// Datagrams and bytes passed to the socket so far.
    std::uint64_t datagrams() const { return m_datagrams; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    const datagram_socket& m_socket;
    const cluster_key& m_key;
    std::string m_sender_id;
    std::atomic<std::uint64_t> m_datagrams{0};
    std::atomic<std::uint64_t> m_bytes{0};
};

} // namespace lagoonferry
