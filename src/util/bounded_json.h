#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace lagoonferry {

/// Nesting depth up to which documents of other systems are parsed.
inline constexpr std::size_t max_json_depth = 32;

/// Parses JSON text from another system. Returns a discarded value if it is not valid JSON or is nested deeper than
/// `max_depth`: each level takes memory on the heap, so a short text could exhaust the memory of the process.
/// Throws nothing. Thread-safe.
nlohmann::json parse_bounded_json(std::string_view text, std::size_t max_depth = max_json_depth);

} // namespace lagoonferry
