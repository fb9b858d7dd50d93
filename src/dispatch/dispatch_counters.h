#pragma once

#include <cstdint>

namespace lagoonferry {

/// Totals of one dispatcher since its start, and its present size.
struct dispatch_counters {
    std::uint64_t granted = 0;
    std::uint64_t refused_full = 0;     ///< queue of the class full
    std::uint64_t refused_deadline = 0; ///< deadline could not be met
    std::uint64_t refused_no_target = 0;
    std::uint64_t preempted = 0;
    std::uint64_t expired = 0;   ///< slots of silent holders
    std::uint64_t abandoned = 0; ///< waiting calls of holders that have gone
    std::uint64_t adopted = 0;   ///< slots taken over from `slot_report`
    std::uint64_t slots = 0;     ///< at present
    std::uint64_t waiting = 0;   ///< at present
};

} // namespace lagoonferry
