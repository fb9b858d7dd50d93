#pragma once

#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// Adaptive concurrency limit of a target (AIMD): additive increase while the time between tokens meets its goal and
/// the limit is reached, multiplicative decrease while it misses the goal. Not thread-safe.
class concurrency_limit {
public:
    /// Starts at `declared_slots`, the number of slots that the target declares, which is also the upper bound.
    concurrency_limit(std::uint32_t declared_slots, timestamp token_interval_goal);

    /// Records the estimated time between tokens while `in_flight` calls run.
    void observe(double token_us, std::uint32_t in_flight, timestamp now);

    std::uint32_t value() const { return static_cast<std::uint32_t>(m_value); }

private:
    double m_max;
    double m_goal_us;
    double m_value;
    timestamp m_last_decrease{0};
};

} // namespace lagoonferry
