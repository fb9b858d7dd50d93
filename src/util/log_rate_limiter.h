#pragma once

#include "util/time.h"

#include <cstddef>

namespace lagoonferry {

/// Bounds the number of log lines: a bucket that refills steadily and allows a burst. Not thread-safe.
class log_rate_limiter {
public:
    /// `per_second` > 0 lines in the long run, `burst` at once.
    log_rate_limiter(double per_second, double burst) : m_rate(per_second), m_burst(burst), m_lines(burst) {}

    /// Returns whether one more line may be written now. A refused line is counted.
    bool try_acquire(timestamp now);

    /// Returns the lines refused since the last call, and starts counting anew.
    std::size_t take_dropped_count();

private:
    double m_rate;
    double m_burst;
    double m_lines;
    timestamp m_last{};
    std::size_t m_refused = 0;
};

} // namespace lagoonferry
