#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// A version of a document, as stored in the key-value service and fetched from other processes.
struct document_record {
    std::string service;
    std::uint64_t version = 0;
    std::string write_id; ///< unique for each put; identifies a write whose response was lost
    std::string author;
    std::int64_t time_ms = 0; ///< wall-clock time of the put, milliseconds since the Unix epoch
    nlohmann::json body;
};

/// Returns a record as the JSON string that is stored. Thread-safe.
std::string serialize_record(const document_record& record);

/// Parses a stored string; returns nothing when it is not a record. Does not check the body. Thread-safe.
std::optional<document_record> parse_record(std::string_view text);

/// Returns the key of the newest version. Thread-safe.
std::string document_key(std::string_view service);

/// Returns the common prefix of the keys of earlier versions. Thread-safe.
std::string document_history_prefix(std::string_view service);

/// Returns the key of an earlier version; the keys of a service sort by version. Thread-safe.
std::string document_history_key(std::string_view service, std::uint64_t version);

} // namespace lagoonferry
