#pragma once

#include "util/time.h"

#include <cstddef>

namespace lagoonferry {

/// Limits the rate of log lines with a token bucket. Not thread-safe.
class log_rate_limiter {
public:
    /// Allows `per_second` lines on average and up to `burst` lines at once. Precondition: per_second > 0.
    log_rate_limiter(double per_second, double burst) : m_rate(per_second), m_burst(burst), m_available(burst) {}

    /// Returns whether a line may be written at `now`. If not, the line is counted as dropped.
    bool try_acquire(timestamp now);

    /// Returns the number of lines dropped since the last call and resets it.
    std::size_t take_dropped_count();

private:
    double m_rate;
    double m_burst;
    double m_available;
    timestamp m_last{};
    std::size_t m_dropped = 0;
};

} // namespace lagoonferry
