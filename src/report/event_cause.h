#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace lagoonferry {

/// How an event of a service counts: good, or why it burns the error budget.
enum class event_cause { good, late_first_token, late_program, refused, unknown_outcome };

inline constexpr std::array all_event_causes{event_cause::good, event_cause::late_first_token,
                                             event_cause::late_program, event_cause::refused,
                                             event_cause::unknown_outcome};

/// Returns the name as in metrics and reports. Thread-safe.
std::string_view to_string(event_cause cause);

/// Returns the cause of a name, or nothing. Thread-safe.
std::optional<event_cause> parse_event_cause(std::string_view name);

} // namespace lagoonferry
