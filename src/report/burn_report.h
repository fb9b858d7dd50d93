#pragma once

#include "document/service_document.h"
#include "report/metric_history.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonferry {

/// The windows of the report: 5 minutes and 1 hour show a fast burn, 6 hours and 3 days a slow one.
inline constexpr std::array burn_windows{std::chrono::seconds(300), std::chrono::seconds(3'600),
                                         std::chrono::seconds(21'600), std::chrono::seconds(259'200)};

/// Error budget use during one window. A burn rate of 1 uses exactly the budget of the objective.
struct window_burn {
    std::chrono::seconds length{};
    std::chrono::seconds covered{}; ///< part of the window for which there are samples
    double total = 0;
    double bad = 0;
    double rate = 0;
};

/// What one cause, target or instance has added to the bad events.
struct burn_contributor {
    std::string name;
    double total = 0;
    double bad = 0;
    double percent_of_bad = 0;
    bool outlier = false; ///< far worse than the others of its kind
};

struct rate_point {
    std::int64_t time_ms = 0;
    double rate = 0;
};

/// The report about one class of one service. The shares are of the last hour, or of the last 3 days if the last hour
/// has no bad event; the worst one comes first.
struct class_burn {
    std::string service;
    service_class priority = service_class::safety;
    objective slo;
    std::array<window_burn, burn_windows.size()> windows;
    bool fast_burn = false;         ///< uses 2% of the budget in an hour, and still does
    bool slow_burn = false;         ///< uses 10% of the budget in 3 days, and still does
    double budget_used_percent = 0; ///< of the budget of the objective's whole window, by the events of the last 3 days
    std::chrono::seconds detail_window{};
    std::vector<burn_contributor> causes;
    std::vector<burn_contributor> targets;
    std::vector<burn_contributor> instances;
    std::vector<rate_point> rates; ///< burn rate between samples
};

struct burn_report {
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
    std::vector<class_burn> classes; ///< those with events, ordered by service and class
};

/// Objectives by service. A service that is missing gets the defaults of `objective`.
using service_objectives = std::map<std::string, std::array<objective, class_count>>;

/// Computes the report at the time of the last sample. Thread-safe.
burn_report make_burn_report(const metric_history& history, const service_objectives& objectives);

} // namespace lagoonferry
