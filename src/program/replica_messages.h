#pragma once

#include "journal/log_item.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

/// A batch of an owner's log for one backup. Retransmitted until it is acknowledged; applying it is idempotent.
struct replicate_request {
    std::uint32_t partition = 0;
    std::uint64_t incarnation = 0; ///< of the backup; another incarnation refuses the batch
    std::uint64_t epoch = 0;
    std::uint64_t stream = 0;   ///< increases with each reset of the replica within the epoch
    bool reset = false;         ///< starts an empty replica; everything up to `previous` is in the key-value service
    std::uint64_t previous = 0; ///< sequence before the first item
    std::uint64_t flushed = 0;  ///< entries and texts up to this sequence are in the key-value service
    std::vector<log_item> items;
};

enum class replicate_status {
    accepted,
    stale_epoch, ///< the backup has seen a higher epoch: the sender is no longer the owner
    gap,         ///< items before this batch are missing; the owner continues after `last`
    full,        ///< the backup's memory limit is reached
};

/// The backup's reply: a cumulative acknowledgement up to `last`.
struct replicate_reply {
    std::uint32_t partition = 0;
    std::string backup;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0; ///< the highest epoch that the backup has seen for the partition
    std::uint64_t stream = 0;
    replicate_status status = replicate_status::gap;
    std::uint64_t last = 0;
};

/// Fetches the replica of a backup, which refuses lower epochs from then on. Sent only after the head record is sealed.
struct fetch_request {
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;
    std::uint64_t after = 0; ///< the reply begins with the first item after this sequence
};

struct fetch_reply {
    std::uint32_t partition = 0;
    std::string backup;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;      ///< epoch of the request
    std::uint64_t after = 0;      ///< `after` of the request
    bool refused = false;         ///< the backup has seen a higher epoch
    std::uint64_t data_epoch = 0; ///< epoch of the log in the replica; 0: no replica
    std::uint64_t last = 0;       ///< last sequence of the replica; the next items are fetched with a higher `after`
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
