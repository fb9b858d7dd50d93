#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lagoonferry {

class cluster_key;

/// Kinds of datagrams between processes. The values are the codes on the wire.
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
    limit_request = 12,
    limit_reply = 13,
    limit_adjustment = 14,
    limit_copy = 15,
};

/// A datagram between processes. The kind determines the format of the body.
struct datagram {
    datagram_kind kind = datagram_kind::heartbeat;
    std::string sender; ///< id of the sending process
    std::string body;   ///< message as CBOR
};

/// Limit on the size of a datagram. It keeps datagrams within the MTU of Ethernet, so that they are not fragmented.
constexpr std::size_t max_datagram_bytes = 1400;

/// Returns the wire format of a datagram, with an authentication tag made with `key`. Thread-safe.
std::vector<std::byte> encode_datagram(const datagram& message, const cluster_key& key);

/// Parses the wire format. Returns nothing if it is malformed or its tag was not made with `key`. Thread-safe.
std::optional<datagram> decode_datagram(std::span<const std::byte> bytes, const cluster_key& key);

/// Encodes a message as CBOR for the body of a datagram. Thread-safe.
std::string encode_cbor(const nlohmann::json& message);

/// Decodes the body of a datagram. Returns nothing if it is not CBOR. Thread-safe.
std::optional<nlohmann::json> decode_cbor(const std::string& body);

} // namespace lagoonferry
