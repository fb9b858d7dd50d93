#pragma once

#include <cstddef>
#include <string_view>

namespace lagoonferry {

/// Returns whether a name that a caller chose may become part of a record: at most `limit` bytes of valid UTF-8 without
/// control characters. Thread-safe.
bool is_valid_name(std::string_view text, std::size_t limit);

} // namespace lagoonferry
