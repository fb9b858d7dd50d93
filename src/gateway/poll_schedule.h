#pragma once

#include "util/time.h"

#include <cstddef>

namespace lagoonferry {

/// Schedule by which gateways poll the store for changes of the target list.
struct poll_timing {
    /// Age of the target list at which the gateway of rank 0 requests changes.
    timestamp base_age = std::chrono::milliseconds(550);
    /// Added for each further rank, so that a gateway polls only when those of lower rank do not.
    timestamp rank_step = std::chrono::milliseconds(250);
    /// Upper bound without jitter. A draining target must get no requests after 2 s, so this leaves time for the call.
    timestamp max_age = std::chrono::milliseconds(1'300);
    /// Jitter step of the ranks at the upper bound, so that they do not all poll at once when the first falls silent.
    timestamp jitter_step = std::chrono::milliseconds(30);
    /// Ranks from here on wait no longer than the one before them.
    std::size_t jitter_slots = 8;
};

/// Returns the schedule of a large fleet, in which a target may get requests for `drain_timeout` after it has announced
/// that it leaves. The gateways poll one after the other, because in an outage of the store all of them would call it
/// at the same time. Thread-safe.
poll_timing large_fleet_timing(timestamp drain_timeout);

/// Returns the pause after a failed poll of the gateway of this rank. Thread-safe.
timestamp poll_backoff(std::size_t rank, bool large_fleet);

/// Returns the age of the target list at which the gateway of this rank polls the store. Thread-safe.
timestamp poll_age(std::size_t rank, const poll_timing& timing = {});

} // namespace lagoonferry
