#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// A leaving target finishes its calls and gets no new ones; a gone target has lost its calls.
enum class target_state : std::uint8_t { live, leaving, gone };

/// A target as the service document and the instance list describe it.
struct target_info {
    std::string id;
    std::string model;
    std::string failure_domain;
    std::uint32_t slots = 16; ///< calls the target can run at the same time, as the operators declared it
    target_state state = target_state::live;
};

/// What a target says about itself. It arrives late and may be missing.
struct load_report {
    std::string target;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::optional<std::vector<std::string>> models; ///< held now; nothing if the target does not say
};

/// A change in a target's prefix cache. It arrives late and may be missing; 0 tokens stands for an eviction.
struct cache_event {
    std::string target;
    std::uint64_t prefix = 0;
    std::uint32_t tokens = 0;
};

} // namespace lagoonferry
