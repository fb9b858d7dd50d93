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

/// The windows of the report: 5 minutes and 1 hour detect a fast burn, 6 hours and 3 days a slow one.
inline constexpr std::array burn_windows{std::chrono::seconds(300), std::chrono::seconds(3'600),
                                         std::chrono::seconds(21'600), std::chrono::seconds(259'200)};

/// Error budget use in one window. At a burn rate of 1 the budget of the objective is used up exactly at the end of its
/// period.
struct window_burn {
    std::chrono::seconds length{};
    std::chrono::seconds covered{}; ///< the part of the window that samples cover
    double total = 0;
    double bad = 0;
    double rate = 0;
};

/// The events of one cause, target or instance.
struct burn_contributor {
    std::string name;
    double total = 0;
    double bad = 0;
    double percent_of_bad = 0;
    bool outlier = false; ///< its ratio of bad events is far above that of the others
};

/// The burn rate at the time of a sample, milliseconds since 1970, over the time since the sample before.
struct rate_point {
    std::int64_t time_ms = 0;
    double rate = 0;
};

/// The report on one class of one service. The causes, targets and instances are those of the last hour, or of the last
/// 3 days if the last hour has no bad event. Those with the most bad events come first.
struct class_burn {
    std::string service;
    service_class priority = service_class::safety;
    objective slo;
    std::array<window_burn, burn_windows.size()> windows;
    bool fast_burn = false;         ///< burned 2% of the budget in an hour and still burns
    bool slow_burn = false;         ///< burned 10% of the budget in 3 days and still burns
    double budget_used_percent = 0; ///< used by the last 3 days, of the budget for the whole period of the objective
    std::chrono::seconds detail_window{}; ///< the window of `causes`, `targets` and `instances`
    std::vector<burn_contributor> causes;
    std::vector<burn_contributor> targets;
    std::vector<burn_contributor> instances;
    std::vector<rate_point> rates;
};

/// The burn report between two times, milliseconds since 1970.
struct burn_report {
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
    std::vector<class_burn> classes; ///< only classes with events, ordered by service and class
};

/// Objectives by service and class. A missing service has the default `objective`.
using service_objectives = std::map<std::string, std::array<objective, class_count>>;

/// Computes the report as of the last sample. Thread-safe.
burn_report make_burn_report(const metric_history& history, const service_objectives& objectives);

} // namespace lagoonferry
