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

/// A backup with the incarnation (process start) that holds the copy; a restarted backup has lost it.
struct backup_ref {
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;

    bool operator==(const backup_ref&) const = default;
};

/// The record below key `partition/<p>`; replaced by compare-and-swap for every durable append.
struct head_record {
    std::uint64_t epoch = 0;
    /// The epoch of the owner that last completed a takeover. Only copies of this epoch's log extend the record.
    std::uint64_t ready_epoch = 0;
    instance_ref owner;
    /// The owner's process start. An owner that restarted under the same id does not own the partition any more;
    /// 0 after a handover, until the successor has taken over.
    std::uint64_t owner_incarnation = 0;
    std::vector<backup_ref> backups;
    std::uint64_t sequence = 0; ///< sequence of the last entry of `tail`
    std::string write_id;
    std::string snapshot; ///< key, or empty; covers all entries before `tail`
    std::string snapshot_digest;
    std::vector<std::string> segments; ///< keys of history segments
    std::vector<entry> tail;
};

/// Returns the sequence that the snapshot covers. Thread-safe.
std::uint64_t snapshot_sequence(const head_record& head);

/// Returns the key of a partition's head record. Thread-safe.
std::string head_key(std::uint32_t partition);

/// JSON text of a head record. Thread-safe.
std::string encode_head(const head_record& head);

/// Returns nothing for text that `encode_head` does not produce. Thread-safe.
std::optional<head_record> decode_head(std::string_view text);

void to_json(nlohmann::json& out, const instance_ref& value);
void from_json(const nlohmann::json& in, instance_ref& value);
void to_json(nlohmann::json& out, const backup_ref& value);
void from_json(const nlohmann::json& in, backup_ref& value);

} // namespace lagoonferry
