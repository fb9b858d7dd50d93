#include "routing/retry_after_policy.h"

namespace lagoonferry {

namespace {

/// A full target finishes a request about every 80 ms, and a gateway that has just started knows its targets sooner.
constexpr int busy_min_ms = 120;
constexpr int busy_max_ms = 450;

/// Outages of the store last seconds. Callers honour a retry delay of up to a third of their remaining time, which is
/// 1,667 ms of the specified 5 s. For each turn they make about three attempts with two tries each.
constexpr int store_min_ms = 900;
constexpr int store_max_ms = 1'600;

} // namespace

std::chrono::milliseconds retry_after_policy::after(refusal_cause cause)
{
    const bool unavailable = cause == refusal_cause::store_unavailable;
    std::uniform_int_distribution<int> spread(unavailable ? store_min_ms : busy_min_ms,
                                              unavailable ? store_max_ms : busy_max_ms);
    return std::chrono::milliseconds(spread(m_random));
}

} // namespace lagoonferry
