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

/// Consecutive failed calls after which a target is suspended and then gets one call at a time. A target that fails its
/// calls frees its slots quickly, so it would otherwise attract every call of its group.
inline constexpr std::uint32_t suspension_failure_threshold = 3;

/// Limits how many slots of a target each class may use: less urgent classes leave free the slots that more urgent ones
/// have needed recently. `known_share` is the fraction of the limits, from 0 to 1, that may be granted while not all
/// held slots are known. No I/O. Not thread-safe.
class class_limits {
public:
    explicit class_limits(const dispatch_settings& settings);

    /// Sets the fraction of a target's limit, from 0 to 1, that each class may use. The initial value is
    /// `dispatch_settings::class_share`.
    void set_class_share(const per_class<double>& share) { m_class_share = share; }
    double class_share(service_class c) const { return m_class_share.at(index_of(c)); }

    /// Records the number of calls that hold or wait for a slot.
    void observe(std::span<const target_stats> targets, const waiting_queue& queue, double known_share, timestamp now);

    /// Returns how many calls of all classes may run on a target when a call of class `c` is added.
    std::uint32_t limit_of(const target_stats& target, service_class c, double known_share) const;

    /// Returns whether a call of class `c` may be added to a target.
    bool has_headroom(const target_stats& target, service_class c, double known_share, timestamp now) const;

private:
    dispatch_settings m_settings;
    per_class<double> m_class_share; ///< replaces the initial value in `m_settings`
    class_demand m_demand;
    double m_total_limit = 0; ///< sum over the targets that accept calls
};

} // namespace lagoonferry
