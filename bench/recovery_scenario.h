#pragma once

#include "util/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry::bench {

/// What fails in a recovery run, at `fault_time`.
enum class recovery_fault : std::uint8_t {
    dispatcher_killed,       ///< the dispatcher of the largest group dies and does not return
    dispatcher_paused,       ///< it pauses, then continues while its successor already grants
    dispatcher_disconnected, ///< it and half of the holders cannot reach each other for some seconds
    mass_restart,            ///< every instance, dispatcher and holder, restarts once within a minute
    domain_lost,             ///< the failure domain of the dispatcher is lost with its dispatchers, holders and targets
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
    timestamp domain_latency{0}; ///< one way between failure domains
    std::vector<recovery_model> models;
};

/// The two sizes of today and, with `large`, two larger ones up to the size in two years.
std::vector<recovery_size> recovery_sizes(bool large);

inline constexpr timestamp fault_time = std::chrono::seconds(30);

/// Time at which a fault ends: the pause, the cut, or the last restart. Equal to `fault_time` for a loss.
timestamp fault_end_time(recovery_fault fault);

/// End of a run.
timestamp recovery_run_end(recovery_fault fault);

} // namespace lagoonferry::bench
