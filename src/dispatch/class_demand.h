#pragma once

#include "util/service_class.h"
#include "util/time.h"

namespace lagoonferry {

/// Slots each class has needed lately: the recent maximum of calls that hold or wait for a slot, which fades. Not
/// thread-safe.
class class_demand {
public:
    struct timing {
        timestamp half_life{};          ///< the maximum falls by half in this time
        timestamp settling_half_life{}; ///< the same while the calls that a loss left behind are worked off
        timestamp settling_time{};      ///< how long that is after the loss
    };

    explicit class_demand(const timing& values) : m_timing(values) {}

    /// Notes how many calls of each class hold or wait for a slot, and the slots that there are. When slots are lost,
    /// the calls that wait are no sign of what the class needs later.
    void observe(const per_class<double>& calls, double slots, timestamp now);

    /// Notes that calls had to wait for a reason other than a lack of slots.
    void note_interruption(timestamp now) { m_settles_until = now + m_timing.settling_time; }

    /// Slots that classes more urgent than `c` need.
    double demand_above(service_class c) const;

private:
    timing m_timing;
    timestamp m_observed{0};
    timestamp m_settles_until{0};
    double m_total = 0; ///< slots at the last observation
    per_class<double> m_slots{};
};

} // namespace lagoonferry
