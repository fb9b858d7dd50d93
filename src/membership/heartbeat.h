#pragma once

#include "document/document_version.h"
#include "membership/member.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

inline constexpr std::size_t max_heartbeat_updates = 8;
inline constexpr std::size_t max_heartbeat_targets = 200;
inline constexpr std::size_t max_heartbeat_documents = 4;

/// Document versions that a heartbeat carries in round-robin order when none has changed. Four in each heartbeat and
/// reply cost each process 1 KB/s.
inline constexpr std::size_t round_robin_documents = 1;
inline constexpr std::size_t max_heartbeat_partitions = 24;

/// Largest heartbeat in CBOR, bytes. With its envelope it stays below 1,200 bytes, which every network path carries
/// without fragmentation.
inline constexpr std::size_t max_heartbeat_bytes = 1'000;

/// The state of a process as reported by another one. `sequence` counts the heartbeats of the subject and orders the
/// updates of one incarnation. `age_ms` is the time since the reporting process last received something from it.
struct member_update {
    member subject;
    std::uint64_t sequence = 0;
    std::uint32_t age_ms = 0;

    bool operator==(const member_update&) const = default;
};

/// The state of a target. It has few fields, because all targets of a failure domain can leave at once.
struct target_update {
    std::string id;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;

    bool operator==(const target_update&) const = default;
};

/// Less-than order that puts targets with equal states, equal incarnations and common id prefixes next to each other.
/// A heartbeat encodes them in the fewest bytes in this order. Thread-safe.
bool compact_order(const target_update& a, const target_update& b);

/// The time since the sender last received something from a process. It is encoded in two bytes, so that a heartbeat
/// can list each process of a large fleet. It does not carry the incarnation.
struct last_seen_entry {
    std::uint32_t id_hash = 0; ///< see `short_id_hash`
    std::uint32_t age_ms = 0;  ///< in steps of `last_seen_unit_ms`; rounded up, so that forwarding never lowers the age

    bool operator==(const last_seen_entry&) const = default;
};

inline constexpr std::uint32_t last_seen_unit_ms = 150;
inline constexpr std::uint32_t max_last_seen_ms = 14 * last_seen_unit_ms;
inline constexpr std::size_t max_last_seen_entries = 340; ///< 680 bytes of a heartbeat

/// Returns the 18-bit hash that stands for a member in last-seen entries. With 340 members most differences between
/// neighbouring hashes fit into 12 bits, and one fleet of this size in five has two members with the same hash.
/// Thread-safe.
std::uint32_t short_id_hash(std::string_view id);

/// A partition that the sender owns, with the epoch of its head record.
struct owned_partition {
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;

    bool operator==(const owned_partition&) const = default;
};

/// The datagram that processes send each other every 500 ms. It may arrive repeatedly and in any order.
struct heartbeat {
    member_update sender;
    bool wants_reply = false;           ///< the receiver replies with a heartbeat that carries only new state
    std::vector<member_update> updates; ///< about processes
    std::vector<target_update> targets; ///< shortest when ordered by `compact_order`
    std::vector<document_version> documents;
    std::vector<owned_partition> partitions;
    /// Ordered by hash. Used in large fleets, in which a process does not contact all others.
    std::vector<last_seen_entry> last_seen_entries;

    bool operator==(const heartbeat&) const = default;
};

/// Returns the message with short field names, to be sent as CBOR. Thread-safe.
nlohmann::json to_json(const heartbeat& message);

/// Reads a message; nothing when a field is missing, has a wrong type or is out of range. Thread-safe.
std::optional<heartbeat> heartbeat_from_json(const nlohmann::json& message);

/// Returns the size of the message in CBOR. Thread-safe.
std::size_t encoded_bytes(const heartbeat& message);

} // namespace lagoonferry
