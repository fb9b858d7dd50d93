#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// A leaving target finishes its running calls and gets no new ones. The calls on a gone target are lost.
enum class target_state : std::uint8_t { live, leaving, gone };

/// Description of a target, from the service document and the instance list.
struct target_info {
    std::string id;
    std::string model;
    std::string failure_domain;
    std::uint32_t slots = 16; ///< maximum number of concurrent calls, as declared by the operators
    target_state state = target_state::live;
};

/// Load that a target reports about itself. Reports may arrive late or not at all.
struct load_report {
    std::string target;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::optional<std::vector<std::string>> models; ///< currently loaded; nothing if the target does not report them
};

/// A change of a target's prefix cache; 0 tokens mean an eviction. Events may arrive late or not at all.
struct cache_event {
    std::string target;
    std::uint64_t prefix = 0;
    std::uint32_t tokens = 0;
};

} // namespace lagoonferry
