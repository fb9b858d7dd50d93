#pragma once

#include "report/burn_report.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonferry {

/// Returns the report for a terminal. Thread-safe.
std::string to_text(const burn_report& report);

/// Returns the report as JSON; docs/operators.md describes its fields. Thread-safe.
nlohmann::json to_json(const burn_report& report);

/// Returns a length of time in its largest whole unit, such as "5 min". Thread-safe.
std::string duration_text(std::chrono::seconds length);

/// Returns a time, milliseconds since 1970, in UTC, such as "2026-03-01 05:30:00". Thread-safe.
std::string time_text(std::int64_t time_ms);

} // namespace lagoonferry
