#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace lagoonferry {

/// Whether an event of a service is good, or why it is bad and counts against the error budget.
enum class event_cause { good, late_first_token, late_program, refused, unknown_outcome };

inline constexpr std::array all_event_causes{event_cause::good, event_cause::late_first_token,
                                             event_cause::late_program, event_cause::refused,
                                             event_cause::unknown_outcome};

/// Returns the name that metrics and reports use. Thread-safe.
std::string_view to_string(event_cause cause);

/// Returns the cause with this name, or nothing. Thread-safe.
std::optional<event_cause> parse_event_cause(std::string_view name);

} // namespace lagoonferry
