#include "routing/retry_after_policy.h"

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

struct delay_range {
    refusal_cause cause;
    int min_ms;
    int max_ms;
};

constexpr std::array delay_ranges{
    // A full target finishes a request about every 80 ms, and a gateway that has just started knows its targets sooner.
    delay_range{refusal_cause::busy, 120, 450},
    delay_range{refusal_cause::stopping, 5, 30},
    // Nodes that restart are back within a second.
    delay_range{refusal_cause::history_unavailable, 300, 800},
    // Outages of the store last seconds. Callers honour a retry delay of up to a third of their remaining time, which
    // is
    // 1,667 ms of the specified 5 s. For each turn they make about three attempts with two tries each.
    delay_range{refusal_cause::store_unavailable, 900, 1'600},
};

} // namespace

std::chrono::milliseconds retry_after_policy::after(refusal_cause cause)
{
    const auto* const it = std::ranges::find(delay_ranges, cause, &delay_range::cause);
    std::uniform_int_distribution<int> spread(it->min_ms, it->max_ms);
    return std::chrono::milliseconds(spread(m_random));
}

} // namespace lagoonferry
