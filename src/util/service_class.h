#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lagoonferry {

/// The priority classes of work, most urgent first. The value is sent to engines as `X-Priority`.
enum class service_class : std::uint8_t { safety, interactive, normal, bulk };

inline constexpr std::array all_service_classes{service_class::safety, service_class::interactive,
                                                service_class::normal, service_class::bulk};
inline constexpr std::size_t class_count = all_service_classes.size();

/// A table with one value for each class, indexed by index_of().
template <class T>
using per_class = std::array<T, class_count>;

/// Index of a class in a `per_class` table.
constexpr std::size_t index_of(service_class c)
{
    return static_cast<std::size_t>(c);
}

/// Returns the name that documents, headers and metrics use. Thread-safe.
std::string_view to_string(service_class value);

/// Returns the class with this name, or nothing. Thread-safe.
std::optional<service_class> parse_service_class(std::string_view name);

} // namespace lagoonferry
