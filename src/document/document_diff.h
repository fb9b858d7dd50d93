#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lagoonferry {

enum class change_kind { added, removed, changed };

/// One difference. List elements with an "id" or a "name" are matched by it, so that an insertion in the middle is one
/// addition. It also stands in the path, as in "/models/[allocation]/targets/[alloc-3]".
struct document_change {
    change_kind kind = change_kind::changed;
    std::string path;
    nlohmann::json before; ///< null for an addition
    nlohmann::json after;  ///< null for a removal
};

/// Returns the differences from `before` to `after`, ordered by path. Thread-safe.
std::vector<document_change> diff_documents(const nlohmann::json& before, const nlohmann::json& after);

/// Returns one line for each change: "+ path: value", "- path: value" or "~ path: before -> after". Thread-safe.
std::string describe(const std::vector<document_change>& changes);

/// Returns the changes as a JSON list of {kind, path, before, after}. Thread-safe.
nlohmann::json to_json(const std::vector<document_change>& changes);

} // namespace lagoonferry
