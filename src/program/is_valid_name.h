#pragma once

#include <cstddef>
#include <string_view>

namespace lagoonferry {

/// Returns whether a name from a caller may be stored in a record: at most `max_bytes` bytes of valid UTF-8 without
/// control characters. Thread-safe.
bool is_valid_name(std::string_view text, std::size_t max_bytes);

} // namespace lagoonferry
