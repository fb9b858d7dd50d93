#include "routing/retry_after_policy.h"

namespace lagoonferry {

namespace {

/// A full target ends a request about every 80 ms, and a started gateway knows its targets in less.
constexpr int busy_min_ms = 120;
constexpr int busy_max_ms = 450;

/// Outages of the store last seconds. Callers honour a third of the time they have left, 1,667 ms of the 5 s on the
/// users' sheets, and make about three attempts of two tries each at a turn.
constexpr int store_min_ms = 900;
constexpr int store_max_ms = 1'600;

} // namespace

std::chrono::milliseconds retry_after_policy::after(refusal_cause cause)
{
    const bool away = cause == refusal_cause::store_unavailable;
    std::uniform_int_distribution<int> spread(away ? store_min_ms : busy_min_ms, away ? store_max_ms : busy_max_ms);
    return std::chrono::milliseconds(spread(m_random));
}

} // namespace lagoonferry
