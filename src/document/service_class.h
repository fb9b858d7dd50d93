#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace lagoonferry {

/// The classes of work, in strict order: the first has the highest priority.
enum class service_class { safety, interactive, normal, bulk };

inline constexpr std::array all_service_classes{service_class::safety, service_class::interactive,
                                                service_class::normal, service_class::bulk};
inline constexpr std::size_t service_class_count = all_service_classes.size();

/// Returns the name as in documents, headers and metrics. Thread-safe.
std::string_view to_string(service_class value);

/// Returns the class of a name, or nothing. Thread-safe.
std::optional<service_class> parse_service_class(std::string_view name);

} // namespace lagoonferry
