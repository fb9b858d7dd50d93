#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lagoonferry {

/// Urgency of a call, most urgent first. The value is the engine's `X-Priority`.
enum class request_class : std::uint8_t { safety, interactive, normal, bulk };

constexpr std::size_t class_count = 4;

/// One value for each class.
template <class T>
using per_class = std::array<T, class_count>;

/// Index of a class in a `per_class` table.
constexpr std::size_t index_of(request_class c)
{
    return static_cast<std::size_t>(c);
}

/// Returns "safety", "interactive", "normal" or "bulk". Thread-safe.
std::string_view to_string(request_class c);

/// Returns the class of a name, or nothing for an unknown name. Thread-safe.
std::optional<request_class> class_from_string(std::string_view name);

} // namespace lagoonferry
