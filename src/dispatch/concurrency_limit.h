#pragma once

#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// Number of calls a target may run: additive increase while the goal for the time between tokens is met and the limit
/// is in use, multiplicative decrease when it is missed. Not thread-safe.
class concurrency_limit {
public:
    /// Starts at `declared`, which is also the upper bound.
    concurrency_limit(std::uint32_t declared, timestamp token_interval_goal);

    /// Notes the estimated time between tokens while `in_flight` calls run.
    void observe(double token_us, std::uint32_t in_flight, timestamp now);

    std::uint32_t value() const { return static_cast<std::uint32_t>(m_value); }

private:
    double m_largest;
    double m_goal_us;
    double m_value;
    timestamp m_changed{0};
};

} // namespace lagoonferry
