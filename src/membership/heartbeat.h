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

/// Versions of documents in turn when none has changed. Four in each heartbeat and answer were 1 KB/s of a process.
inline constexpr std::size_t round_robin_documents = 1;
inline constexpr std::size_t max_heartbeat_partitions = 24;

/// Largest heartbeat in CBOR, bytes. With its envelope it stays below the 1,200 bytes that every path carries whole.
inline constexpr std::size_t max_heartbeat_bytes = 1'000;

/// What a process tells about another process. `sequence` counts the heartbeats of that member and orders the updates
/// of one incarnation. `age_ms` is the time since the teller's last sign of life of the member.
struct member_update {
    member subject;
    std::uint64_t sequence = 0;
    std::uint32_t age_ms = 0;

    bool operator==(const member_update&) const = default;
};

/// What a process tells about a target. It is short, because all targets of a failure domain can leave at once.
struct target_update {
    std::string id;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;

    bool operator==(const target_update&) const = default;
};

/// Orders targets so that a heartbeat encodes them in few bytes: equal states and incarnations, and common prefixes of
/// identifiers, follow each other. Thread-safe.
bool compact_order(const target_update& a, const target_update& b);

/// When the sender last had a sign of life of a process. It takes two bytes, so that a heartbeat can tell of each
/// process of a large fleet. It says nothing of the incarnation.
struct last_seen_entry {
    std::uint32_t member = 0; ///< see `short_id_hash`
    std::uint32_t age_ms = 0; ///< in steps of `last_seen_unit_ms`, rounded up: each teller must not make it younger

    bool operator==(const last_seen_entry&) const = default;
};

inline constexpr std::uint32_t last_seen_unit_ms = 150;
inline constexpr std::uint32_t max_last_seen_ms = 14 * last_seen_unit_ms;
inline constexpr std::size_t max_last_seen_entries = 340; ///< 680 bytes of a heartbeat

/// Returns the number of a member in life signs, of 18 bits: the distances of 340 members mostly fit into 12, and two
/// of them have the same one in a fifth of such fleets. Thread-safe.
std::uint32_t short_id_hash(std::string_view id);

/// A partition that the sender owns, with the epoch of its head record.
struct owned_partition {
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;

    bool operator==(const owned_partition&) const = default;
};

/// The datagram that processes send each other every 500 ms. Idempotent and unordered.
struct heartbeat {
    member_update sender;
    bool wants_reply = false;           ///< the receiver answers with a heartbeat that carries only news
    std::vector<member_update> updates; ///< about processes
    std::vector<target_update> targets; ///< shortest when ordered by `compact_order`
    std::vector<document_version> documents;
    std::vector<owned_partition> partitions;
    std::vector<last_seen_entry> last_seen_entries; ///< ordered by member; in large fleets, in which not all hear all

    bool operator==(const heartbeat&) const = default;
};

/// Returns the message with short field names, to be sent as CBOR. Thread-safe.
nlohmann::json to_json(const heartbeat& message);

/// Reads a message; nothing when a field is missing, has a wrong type or is out of range. Thread-safe.
std::optional<heartbeat> heartbeat_from_json(const nlohmann::json& message);

/// Returns the size of the message in CBOR. Thread-safe.
std::size_t encoded_bytes(const heartbeat& message);

} // namespace lagoonferry
