#pragma once

#include <source_location>
#include <string_view>

namespace lagoonferry {

/// Logs the failed condition with its place and aborts. Thread-safe.
[[noreturn]] void ensure_failed(std::string_view text, const std::source_location& place);

/// Aborts the process when a condition that the code relies on does not hold. Thread-safe.
inline void ensure(bool condition, std::string_view text,
                   const std::source_location& place = std::source_location::current())
{
    if (!condition) {
        ensure_failed(text, place);
    }
}

} // namespace lagoonferry
