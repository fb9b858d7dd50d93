#pragma once

#include "dispatch/concurrency_limit.h"
#include "dispatch/latency_estimator.h"
#include "dispatch/target_info.h"
#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// What a dispatcher knows of one target.
struct target_stats {
    /// Whether new calls may go there.
    bool accepts_calls() const { return info.state == target_state::live; }

    target_info info;
    concurrency_limit limit;
    latency_estimator latency;
    std::uint32_t in_flight = 0; ///< sum of `in_flight_by_class`
    per_class<std::uint32_t> in_flight_by_class{};
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    std::uint32_t failures = 0;   ///< calls that failed since the last one that did not
    timestamp suspended_until{0}; ///< no call before this time, because calls failed
    double hold_us = 0;           ///< how long slots are held here, moving mean
};

} // namespace lagoonferry
