#pragma once

#include <source_location>
#include <string_view>

namespace lagoonferry {

/// Prints a failed invariant with its source location to standard error and aborts. Thread-safe.
[[noreturn]] void ensure_failed(std::string_view text, const std::source_location& place);

/// Aborts the process if an invariant does not hold. Unlike assert() it is active in all builds. `text` describes the
/// violation. Thread-safe.
inline void ensure(bool condition, std::string_view text,
                   const std::source_location& place = std::source_location::current())
{
    if (!condition) {
        ensure_failed(text, place);
    }
}

} // namespace lagoonferry
