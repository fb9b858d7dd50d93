#pragma once

#include "document/service_document.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Largest document body in bytes. With JSON escapes and the record around it, it stays below 1 MB, the limit of a
/// key-value entry.
inline constexpr std::size_t max_document_bytes = 500'000;

/// One schema violation. `path` is a JSON pointer such as "/models/0/targets/2/address".
struct document_fault {
    std::string path;
    std::string reason;

    bool operator==(const document_fault&) const = default;
};

/// The result of a check: the typed document if there are no faults, and the faults otherwise.
struct document_check {
    std::optional<service_document> document;
    std::vector<document_fault> faults;
};

/// Checks a body against the schema and lists every fault: unknown and missing fields, wrong types, values out of
/// range, duplicate names. Thread-safe.
document_check check_document(const nlohmann::json& body);

/// Parses and checks a JSON string. Also rejects strings above `max_document_bytes` and duplicate fields. Thread-safe.
document_check check_document_text(std::string_view text);

/// Returns one line for each fault. Thread-safe.
std::string describe(const std::vector<document_fault>& faults);

} // namespace lagoonferry
