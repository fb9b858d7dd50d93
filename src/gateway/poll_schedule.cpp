#include "gateway/poll_schedule.h"

#include <algorithm>

namespace lagoonferry {

timestamp poll_age(std::size_t rank, const poll_timing& timing)
{
    const timestamp staggered = timing.base_age + timing.rank_step * static_cast<std::int64_t>(rank);
    if (staggered <= timing.max_age) {
        return staggered;
    }
    return timing.max_age + timing.jitter_step * static_cast<std::int64_t>(rank % timing.jitter_slots);
}

poll_timing large_fleet_timing(timestamp drain_timeout)
{
    // The call, the datagrams to the others and requests that are on their way.
    constexpr timestamp reserve = std::chrono::milliseconds(1'200);
    poll_timing timing;
    const timestamp spread = drain_timeout - reserve - timing.max_age;
    timing.jitter_slots = 32;
    timing.jitter_step = std::max(spread / static_cast<std::int64_t>(timing.jitter_slots), timing.jitter_step / 4);
    return timing;
}

timestamp poll_backoff(std::size_t rank, bool large_fleet)
{
    constexpr timestamp base = std::chrono::milliseconds(400);
    constexpr timestamp step = std::chrono::milliseconds(60);
    constexpr std::size_t max_steps = 40;
    return large_fleet ? base + step * static_cast<std::int64_t>(std::min(rank, max_steps)) : base;
}

} // namespace lagoonferry
