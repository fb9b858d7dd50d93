#pragma once

#include <cstdint>

namespace lagoonferry {

/// Totals of one dispatcher since its start, and its current number of slots and waiting calls.
struct dispatch_counters {
    std::uint64_t granted = 0;
    std::uint64_t refused_full = 0;     ///< the queue of the class was full
    std::uint64_t refused_deadline = 0; ///< the deadline could not be met
    std::uint64_t refused_no_target = 0;
    std::uint64_t preempted = 0;
    std::uint64_t expired = 0;   ///< slots freed because their holder was silent
    std::uint64_t abandoned = 0; ///< waiting calls dropped because their holder was silent
    std::uint64_t adopted = 0;   ///< slots learnt from a `slot_report`
    std::uint64_t slots = 0;     ///< current value
    std::uint64_t waiting = 0;   ///< current value
};

} // namespace lagoonferry
