#pragma once

#include <chrono>

namespace lagoonferry {

/// Monotonic time since an arbitrary origin. Decision code receives it as a value and never reads a clock.
using timestamp = std::chrono::microseconds;

/// Returns the monotonic clock of this process. Thread-safe.
inline timestamp steady_now()
{
    return std::chrono::duration_cast<timestamp>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace lagoonferry
