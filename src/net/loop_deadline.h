#pragma once

#include "net/http_types.h"

#include <algorithm>

namespace lagoonferry {

/// A point in time of the event loop until which an operation may take.
using deadline = loop_clock::time_point;

/// Returns the point in time after `span` from now. Thread-safe.
inline deadline deadline_after(std::chrono::milliseconds span)
{
    return loop_clock::now() + span;
}

/// Returns the time left, never negative. Thread-safe.
inline std::chrono::milliseconds time_left(deadline until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - loop_clock::now());
    return std::max(left, std::chrono::milliseconds(0));
}

} // namespace lagoonferry
