#pragma once

#include "dispatch/class_demand.h"
#include "dispatch/dispatch_settings.h"
#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>
#include <span>

namespace lagoonferry {

struct target_stats;
class waiting_queue;

/// Calls in a row that must fail before a target gets one at a time. A target that fails its calls frees its slots
/// fast, so that it would attract every call of its group.
inline constexpr std::uint32_t suspension_failure_threshold = 3;

/// How many slots of a target each class may fill: less urgent classes leave free what more urgent ones have needed
/// lately. Decision code without I/O; not thread-safe. `known_share` is the part of the limits that may be granted
/// while the slots that are held are not all known, from 0 to 1.
class class_limits {
public:
    explicit class_limits(const dispatch_settings& settings);

    /// Sets the part of a target's limit that each class may fill, from 0 to 1; the settings give the first value.
    void set_class_share(const per_class<double>& share) { m_class_share = share; }
    double class_share(service_class c) const { return m_class_share.at(index_of(c)); }

    /// Notes the calls that hold or wait for a slot.
    void observe(std::span<const target_stats> targets, const waiting_queue& queue, double known_share, timestamp now);

    /// Returns the calls that may run on a target when one of class `c` is added.
    std::uint32_t limit_of(const target_stats& target, service_class c, double known_share) const;

    /// Returns whether a call of class `c` may be added to a target.
    bool has_headroom(const target_stats& target, service_class c, double known_share, timestamp now) const;

private:
    dispatch_settings m_settings;
    per_class<double> m_class_share; ///< in place of the one in the settings, which stays as it was at the start
    class_demand m_demand;
    double m_all_limits = 0; ///< sum over the targets that take calls
};

} // namespace lagoonferry
