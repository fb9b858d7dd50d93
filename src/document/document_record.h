#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// A version of a document as it is stored in the key-value service and fetched between processes.
struct document_record {
    std::string service;
    std::uint64_t version = 0;
    std::string write_id; ///< unique for each put, to recognise a write whose reply was lost
    std::string author;
    std::int64_t time_ms = 0; ///< wall clock of the put, milliseconds since 1970
    nlohmann::json body;
};

/// Returns the stored text of a record. Thread-safe.
std::string serialize_record(const document_record& record);

/// Reads a stored text; nothing when it is not a record. Does not check the body. Thread-safe.
std::optional<document_record> parse_record(std::string_view text);

/// Returns the key of the newest version. Thread-safe.
std::string document_key(std::string_view service);

/// Returns the common prefix of the keys of earlier versions. Thread-safe.
std::string document_history_prefix(std::string_view service);

/// Returns the key of an earlier version; the keys of a service sort by version. Thread-safe.
std::string document_history_key(std::string_view service, std::uint64_t version);

} // namespace lagoonferry
