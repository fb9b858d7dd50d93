#pragma once

#include "dispatch/concurrency_limit.h"
#include "dispatch/latency_estimator.h"
#include "dispatch/target_info.h"
#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// State and statistics of one target at a dispatcher.
struct target_stats {
    /// Returns whether new calls may be sent to the target.
    bool accepts_calls() const { return info.state == target_state::live; }

    target_info info;
    concurrency_limit limit;
    latency_estimator latency;
    std::uint32_t in_flight = 0; ///< sum of `in_flight_by_class`
    per_class<std::uint32_t> in_flight_by_class{};
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    std::uint32_t failures = 0;   ///< consecutive failed calls
    timestamp suspended_until{0}; ///< no calls before this time, because of failed calls
    double hold_us = 0;           ///< moving average of the time for which slots are held
};

} // namespace lagoonferry
