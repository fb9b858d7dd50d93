#pragma once

#include "journal/entry.h"
#include "journal/stored_text.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace lagoonferry {

/// One item of a partition's log. The key-value service and each backup hold a prefix of the same log.
struct log_item {
    std::uint64_t sequence = 0;
    entry content;
    text_ref text; ///< null for entries without text
};

/// Returns an estimate of the item's serialized size in bytes. Thread-safe.
std::size_t item_bytes(const log_item& item);

void to_json(nlohmann::json& out, const log_item& item);

/// Throws nlohmann::json::exception for malformed input.
void from_json(const nlohmann::json& in, log_item& item);

} // namespace lagoonferry
