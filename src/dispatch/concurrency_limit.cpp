#include "dispatch/concurrency_limit.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// Lower bound of the limit, unless the target declares fewer slots.
constexpr double min_limit = 2;
constexpr double decrease_factor = 0.85;
constexpr timestamp decrease_interval = std::chrono::seconds(1);
constexpr double increase_per_observation = 0.1;

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t declared_slots, timestamp token_interval_goal)
    : m_max(std::max<double>(declared_slots, 1)), m_goal_us(static_cast<double>(token_interval_goal.count())),
      m_value(m_max)
{
}

void concurrency_limit::observe(double token_us, std::uint32_t in_flight, timestamp now)
{
    if (token_us > m_goal_us) {
        if (now - m_last_decrease >= decrease_interval) {
            m_value = std::max(std::min(min_limit, m_max), m_value * decrease_factor);
            m_last_decrease = now;
        }
        return;
    }
    if (in_flight + 1 >= value()) {
        m_value = std::min(m_max, m_value + increase_per_observation);
    }
}

} // namespace lagoonferry
