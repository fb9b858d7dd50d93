#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lagoonferry {

class cluster_key;

/// The kinds of datagrams between processes; the value is the code on the wire.
enum class datagram_kind {
    heartbeat = 1,
    dispatch = 2,
    budget_request = 3,
    budget_reply = 4,
    budget_settlement = 5,
    record_request = 6,
    record_copy = 7,
    targets = 8,
    loads = 9,
    losses_request = 10,
    losses = 11,
};

/// A datagram: its kind, the identifier of the sending process and a body of that kind.
struct datagram {
    datagram_kind kind = datagram_kind::heartbeat;
    std::string sender;
    std::string body; ///< CBOR of the message
};

/// Datagrams stay below this size, so that they are not fragmented on an Ethernet path.
constexpr std::size_t max_datagram_bytes = 1400;

/// Returns the wire form, authenticated with the cluster key. Thread-safe.
std::vector<std::byte> encode_datagram(const datagram& message, const cluster_key& key);

/// Reads the wire form, or nothing if it is malformed or was not made with the cluster key. Thread-safe.
std::optional<datagram> decode_datagram(std::span<const std::byte> bytes, const cluster_key& key);

/// Returns a message as CBOR text for a datagram body. Thread-safe.
std::string encode_cbor(const nlohmann::json& message);

/// Reads a datagram body, or nothing if it is not CBOR. Thread-safe.
std::optional<nlohmann::json> decode_cbor(const std::string& body);

} // namespace lagoonferry
