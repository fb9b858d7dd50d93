#pragma once

#include "util/service_class.h"
#include "util/time.h"

namespace lagoonferry {

/// Slots each class has needed lately: the recent maximum of calls that hold or wait for a slot, which fades. Not
/// thread-safe.
class class_demand {
public:
    /// The maximum falls by half in `half_life`.
    explicit class_demand(timestamp half_life) : m_half_life(half_life) {}

    /// Notes how many calls of each class hold or wait for a slot.
    void observe(const per_class<double>& calls, timestamp now);

    /// Slots that classes more urgent than `c` need.
    double above(service_class c) const;

private:
    timestamp m_half_life;
    timestamp m_observed{0};
    per_class<double> m_slots{};
};

} // namespace lagoonferry
