#pragma once

#include "journal/entry.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// An instance and the address at which its peers reach it.
struct instance_ref {
    std::string id;
    std::string address;

    bool operator==(const instance_ref&) const = default;
};

/// A backup and the incarnation (process start) that holds the replica. A restarted backup has lost its replica.
struct backup_ref {
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;

    bool operator==(const backup_ref&) const = default;
};

/// The head of a partition's log, stored under the key `partition/<p>`. Every durable append replaces it by
/// compare-and-swap.
struct head_record {
    std::uint64_t epoch = 0;
    /// The epoch of the owner that last completed a takeover. Only replicas of this epoch's log
    /// can hold entries that follow the record.
    std::uint64_t ready_epoch = 0;
    instance_ref owner;
    /// The owner's process start: an owner that restarted under the same id no longer owns the partition.
    /// 0 after a handover, until the successor has taken over.
    std::uint64_t owner_incarnation = 0;
    std::vector<backup_ref> backups;
    std::uint64_t sequence = 0; ///< sequence of the last entry of `tail`
    std::string write_id;
    std::string snapshot; ///< key of the snapshot, which covers all entries before `tail`; empty if there is none
    std::string snapshot_digest;
    std::vector<std::string> segments; ///< keys of history segments
    std::vector<entry> tail;
};

/// Returns the sequence of the last entry that the snapshot covers. Thread-safe.
std::uint64_t snapshot_sequence(const head_record& head);

/// Returns the key of a partition's head record. Thread-safe.
std::string head_key(std::uint32_t partition);

/// Serializes a head record as JSON. Thread-safe.
std::string encode_head(const head_record& head);

/// Parses a head record. Returns nothing for input that `encode_head` does not produce. Thread-safe.
std::optional<head_record> decode_head(std::string_view text);

void to_json(nlohmann::json& out, const instance_ref& value);
void from_json(const nlohmann::json& in, instance_ref& value);
void to_json(nlohmann::json& out, const backup_ref& value);
void from_json(const nlohmann::json& in, backup_ref& value);

} // namespace lagoonferry
