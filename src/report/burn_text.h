#pragma once

#include "report/burn_report.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonferry {

/// Returns the report as plain text for a terminal. Thread-safe.
std::string to_text(const burn_report& report);

/// Returns the report as JSON; docs/operators.md describes its fields. Thread-safe.
nlohmann::json to_json(const burn_report& report);

/// Returns a duration in the largest unit that it reaches, rounded down, such as "5 min". Thread-safe.
std::string duration_text(std::chrono::seconds length);

/// Formats a time in milliseconds since 1970 as UTC, such as "2026-03-01 05:30:00". Thread-safe.
std::string time_text(std::int64_t time_ms);

} // namespace lagoonferry
