#include "dispatch/concurrency_limit.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// Lowest limit of a slow target, unless it declared fewer slots.
constexpr double least = 2;
constexpr double decrease = 0.85;
constexpr timestamp decrease_interval = std::chrono::seconds(1);
constexpr double increase_per_observation = 0.1;

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t declared, timestamp token_interval_goal)
    : m_largest(std::max<double>(declared, 1)), m_goal_us(static_cast<double>(token_interval_goal.count())),
      m_value(m_largest)
{
}

void concurrency_limit::observe(double token_us, std::uint32_t in_flight, timestamp now)
{
    if (token_us > m_goal_us) {
        if (now - m_changed >= decrease_interval) {
            m_value = std::max(std::min(least, m_largest), m_value * decrease);
            m_changed = now;
        }
        return;
    }
    if (in_flight + 1 >= value()) {
        m_value = std::min(m_largest, m_value + increase_per_observation);
    }
}

} // namespace lagoonferry
