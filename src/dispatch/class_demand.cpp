#include "dispatch/class_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonferry {

namespace {

/// A smaller loss of slots is an adjustment of the limits, not the loss of a target or of a failure domain.
constexpr double min_slot_loss = 0.05;

} // namespace

void class_demand::observe(const per_class<double>& calls, double slots, timestamp now)
{
    if (slots < (1 - min_slot_loss) * m_total_slots) {
        note_interruption(now);
    }
    m_total_slots = slots;
    const timestamp half_life = now < m_settling_until ? m_timing.settling_half_life : m_timing.half_life;
    const double age = static_cast<double>((now - m_last_observation).count()) / static_cast<double>(half_life.count());
    const double decay = std::exp2(-age);
    m_last_observation = now;
    for (std::size_t n = 0; n < class_count; ++n) {
        m_demand.at(n) = std::max(calls.at(n), m_demand.at(n) * decay);
    }
}

double class_demand::demand_above(service_class c) const
{
    return std::accumulate(m_demand.begin(), m_demand.begin() + static_cast<std::ptrdiff_t>(index_of(c)), 0.0);
}

} // namespace lagoonferry
