#pragma once

#include "dispatch/concurrency_limit.h"
#include "dispatch/latency_track.h"
#include "dispatch/target_info.h"
#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// What a dispatcher knows of one target.
struct target_track {
    target_info info;
    std::uint32_t in_flight = 0;
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    concurrency_limit limit;
    latency_track latency;
    bool slow = false;
    timestamp last_probe{0};
};

} // namespace lagoonferry
