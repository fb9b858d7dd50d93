#pragma once

#include "util/time.h"

#include <cstddef>

namespace lagoonferry {

struct poll_timing {
    /// Age of the list of targets at which the first gateway asks for changes.
    timestamp base_age = std::chrono::milliseconds(550);
    /// Each further gateway waits this much longer, so that it asks only when those before it do not.
    timestamp rank_step = std::chrono::milliseconds(250);
    /// No gateway waits longer. A draining target must be left within 2 s, so this leaves time for the call.
    timestamp max_age = std::chrono::milliseconds(1'300);
    /// Spread of the oldest ones, so that all do not ask at once when the first falls silent.
    timestamp jitter_step = std::chrono::milliseconds(30);
};

/// Returns the age of the list of targets at which the gateway with this rank asks the store. Thread-safe.
timestamp poll_age(std::size_t rank, const poll_timing& timing = {});

} // namespace lagoonferry
