#pragma once

#include "util/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry::bench {

/// Fault of a recovery run, which begins at `fault_time`.
enum class recovery_fault : std::uint8_t {
    dispatcher_killed,       ///< the dispatcher of the largest group is killed and does not restart
    dispatcher_paused,       ///< that dispatcher pauses, and continues after its successor has begun to grant
    dispatcher_disconnected, ///< that dispatcher and half of the holders cannot reach each other for 20 s
    mass_restart,            ///< every instance, with its dispatcher and holder, restarts once within a minute
    domain_lost,             ///< the failure domain of that dispatcher fails with all dispatchers, holders and targets
};

inline constexpr std::array all_recovery_faults{recovery_fault::dispatcher_killed, recovery_fault::dispatcher_paused,
                                                recovery_fault::dispatcher_disconnected, recovery_fault::mass_restart,
                                                recovery_fault::domain_lost};

std::string_view to_string(recovery_fault value);

/// Engines of one model.
struct recovery_model {
    std::string name;
    std::uint32_t engines = 0;
};

/// Fleet of a recovery run. Each instance runs a holder and a dispatcher.
struct recovery_size {
    std::string name;
    std::uint32_t instances = 0;
    std::uint32_t failure_domains = 1;
    timestamp domain_latency{0}; ///< one-way latency between failure domains
    std::vector<recovery_model> models;
};

/// Returns the two current fleet sizes and, with `large`, two larger ones up to the size expected in two years.
std::vector<recovery_size> recovery_sizes(bool large);

inline constexpr timestamp fault_time = std::chrono::seconds(30);

/// Returns the time at which a fault ends: the end of the pause, of the disconnection or of the last restart. Permanent
/// failures end at `fault_time`.
timestamp fault_end_time(recovery_fault fault);

/// Returns the time at which a run ends.
timestamp recovery_run_end(recovery_fault fault);

} // namespace lagoonferry::bench
