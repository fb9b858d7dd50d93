#pragma once

#include "net/http_types.h"

#include <algorithm>

namespace lagoonferry {

/// The time on the event loop's clock at which an operation times out.
using deadline = loop_clock::time_point;

/// Returns the deadline that lies `duration` after now. Thread-safe.
inline deadline deadline_after(std::chrono::milliseconds duration)
{
    return loop_clock::now() + duration;
}

/// Returns the time left until the deadline; 0 once it has passed. Thread-safe.
inline std::chrono::milliseconds time_left(deadline until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - loop_clock::now());
    return std::max(left, std::chrono::milliseconds(0));
}

} // namespace lagoonferry
