#include "peer/datagram_sender.h"

#include "peer/datagram_socket.h"

#include <nlohmann/json.hpp>

namespace lagoonferry {

datagram_sender::datagram_sender(const datagram_socket& socket, const cluster_key& key, std::string sender_id)
    : m_socket(socket), m_key(key), m_sender_id(std::move(sender_id))
{
}

void datagram_sender::send(const network_address& to, datagram_kind kind, const nlohmann::json& body)
{
    const auto bytes = encode_datagram({kind, m_sender_id, encode_cbor(body)}, m_key);
    m_socket.send(to, bytes);
    ++m_datagrams;
    m_bytes += bytes.size();
}

} // namespace lagoonferry
