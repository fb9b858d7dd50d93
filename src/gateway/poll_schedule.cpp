#include "gateway/poll_schedule.h"

#include <algorithm>

namespace lagoonferry {

timestamp poll_age(std::size_t rank, const poll_timing& timing)
{
    const timestamp staggered = timing.base_age + timing.rank_step * static_cast<std::int64_t>(rank);
    if (staggered <= timing.max_age) {
        return staggered;
    }
    constexpr std::size_t jitter_slots = 8;
    return timing.max_age + timing.jitter_step * static_cast<std::int64_t>(rank % jitter_slots);
}

} // namespace lagoonferry
