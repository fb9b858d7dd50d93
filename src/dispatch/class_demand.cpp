#include "dispatch/class_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonferry {

namespace {

/// A smaller loss of slots is a change of limits, not a lost target or failure domain.
constexpr double least_loss = 0.05;

} // namespace

void class_demand::observe(const per_class<double>& calls, double slots, timestamp now)
{
    if (slots < (1 - least_loss) * m_total) {
        note_interruption(now);
    }
    m_total = slots;
    const timestamp half_life = now < m_settles_until ? m_timing.settling_half_life : m_timing.half_life;
    const double age = static_cast<double>((now - m_observed).count()) / static_cast<double>(half_life.count());
    const double fade = std::exp2(-age);
    m_observed = now;
    for (std::size_t n = 0; n < class_count; ++n) {
        m_slots.at(n) = std::max(calls.at(n), m_slots.at(n) * fade);
    }
}

double class_demand::demand_above(service_class c) const
{
    return std::accumulate(m_slots.begin(), m_slots.begin() + static_cast<std::ptrdiff_t>(index_of(c)), 0.0);
}

} // namespace lagoonferry
