#include "dispatch/class_limits.h"

#include "dispatch/target_stats.h"
#include "dispatch/waiting_queue.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace lagoonferry {

class_limits::class_limits(const dispatch_settings& settings)
    : m_settings(settings), m_class_share(settings.class_share),
      m_demand({settings.demand_half_life, settings.settling_half_life, settings.settling_time})
{
}

void class_limits::observe(std::span<const target_stats> targets, const waiting_queue& queue, double known_share,
                           timestamp now)
{
    per_class<double> calls{};
    m_total_limit = 0;
    for (const auto& target : targets) {
        for (std::size_t n = 0; n < class_count; ++n) {
            calls.at(n) += target.in_flight_by_class.at(n);
        }
        m_total_limit += target.accepts_calls() ? limit_of(target, service_class::safety, known_share) : 0;
    }
    for (std::size_t n = 0; n < class_count; ++n) {
        calls.at(n) += queue.count(static_cast<service_class>(n));
    }
    // Calls that wait until the holders have reported their slots do not show a lack of slots.
    if (known_share >= 1) {
        m_demand.observe(calls, m_total_limit, now);
    }
    else {
        m_demand.note_interruption(now);
    }
}

std::uint32_t class_limits::limit_of(const target_stats& target, service_class c, double known_share) const
{
    if (m_settings.unlimited) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const std::uint32_t full_limit = m_settings.adaptive_limit ? target.limit.value() : target.info.slots;
    const double share = class_share(c) * known_share;
    return std::max(1U, static_cast<std::uint32_t>(full_limit * share));
}

bool class_limits::has_headroom(const target_stats& target, service_class c, double known_share, timestamp now) const
{
    if (known_share <= 0 || now < target.suspended_until || target.in_flight >= limit_of(target, c, known_share)) {
        return false;
    }
    // A target that failed its last calls gets a single call as a probe.
    if (target.failures >= suspension_failure_threshold && target.in_flight > 0) {
        return false;
    }
    if (!m_settings.reserve_demand || c == service_class::safety) {
        return true;
    }
    const auto first = target.in_flight_by_class.begin() + static_cast<std::ptrdiff_t>(index_of(c));
    const auto in_flight = std::accumulate(first, target.in_flight_by_class.end(), 0U);
    const double full_limit = limit_of(target, service_class::safety, known_share);
    const double reserved =
        m_settings.demand_margin * m_demand.demand_above(c) * full_limit / std::max(1.0, m_total_limit);
    return in_flight < std::max(1.0, full_limit - reserved);
}

} // namespace lagoonferry
