#pragma once

#include <chrono>

namespace lagoonferry {

/// Monotonic time since an arbitrary origin. Code that makes decisions gets the time as an argument and never reads a
/// clock, so tests control the time.
using timestamp = std::chrono::microseconds;

/// Returns the current time of the monotonic clock. Thread-safe.
inline timestamp steady_now()
{
    return std::chrono::duration_cast<timestamp>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace lagoonferry
