#pragma once

#include "util/service_class.h"
#include "util/time.h"

namespace lagoonferry {

/// Recent slot demand per class: the maximum number of calls that held or waited for a slot, with exponential decay.
/// Not thread-safe.
class class_demand {
public:
    struct timing {
        timestamp half_life{};          ///< half-life of the maximum
        timestamp settling_half_life{}; ///< half-life while the backlog after a loss of slots is processed
        timestamp settling_time{};      ///< how long `settling_half_life` applies after a loss
    };

    explicit class_demand(const timing& values) : m_timing(values) {}

    /// Records how many calls of each class hold or wait for a slot, and the total number of slots. A loss of slots
    /// starts the settling time, because the calls that queue up then say nothing about later demand.
    void observe(const per_class<double>& calls, double slots, timestamp now);

    /// Records that calls had to wait for a reason other than a lack of slots. Starts the settling time.
    void note_interruption(timestamp now) { m_settling_until = now + m_timing.settling_time; }

    /// Returns the slot demand of all classes that are more urgent than `c`.
    double demand_above(service_class c) const;

private:
    timing m_timing;
    timestamp m_last_observation{0};
    timestamp m_settling_until{0};
    double m_total_slots = 0; ///< total slots at the last observation
    per_class<double> m_demand{};
};

} // namespace lagoonferry
