#pragma once

#include "journal/log_item.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

/// A batch of an owner's log for one backup. Retransmitted until it is acknowledged; receiving it twice is harmless.
struct replicate_request {
    std::uint32_t partition = 0;
    std::uint64_t incarnation = 0; ///< of the backup that the owner means; any other one refuses the batch
    std::uint64_t epoch = 0;
    std::uint64_t stream = 0;   ///< rises whenever the owner starts the backup's copy anew within its epoch
    bool reset = false;         ///< starts the copy anew; everything up to `previous` is in the key-value service
    std::uint64_t previous = 0; ///< sequence before the first item
    std::uint64_t flushed = 0;  ///< entries and texts up to this sequence are in the key-value service
    std::vector<log_item> items;
};

enum class replicate_status {
    accepted,
    stale_epoch, ///< the backup has seen a higher epoch: the sender is no longer the owner
    gap,         ///< items before this batch are missing; `last` says where to continue
    full,        ///< the backup's memory limit is reached
};

/// The backup's answer: a cumulative acknowledgement up to `last`.
struct replicate_reply {
    std::uint32_t partition = 0;
    std::string backup;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0; ///< the highest epoch that the backup has seen for the partition
    std::uint64_t stream = 0;
    replicate_status status = replicate_status::gap;
    std::uint64_t last = 0;
};

/// Asks a backup for its copy and makes it refuse lower epochs from now on. Sent only after the head is sealed.
struct fetch_request {
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;
    std::uint64_t after = 0; ///< the reply begins with the first item behind this sequence
};

struct fetch_reply {
    std::uint32_t partition = 0;
    std::string backup;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;      ///< epoch of the request
    std::uint64_t after = 0;      ///< `after` of the request
    bool refused = false;         ///< the backup has seen a higher epoch
    std::uint64_t data_epoch = 0; ///< epoch whose log the copy belongs to; 0: no copy
    std::uint64_t last = 0;       ///< last sequence of the copy; further items are fetched with a higher `after`
    std::vector<log_item> items;
};

void to_json(nlohmann::json& out, const replicate_request& value);
void from_json(const nlohmann::json& in, replicate_request& value);
void to_json(nlohmann::json& out, const replicate_reply& value);
void from_json(const nlohmann::json& in, replicate_reply& value);
void to_json(nlohmann::json& out, const fetch_request& value);
void from_json(const nlohmann::json& in, fetch_request& value);
void to_json(nlohmann::json& out, const fetch_reply& value);
void from_json(const nlohmann::json& in, fetch_reply& value);

} // namespace lagoonferry
