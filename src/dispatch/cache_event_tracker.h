#pragma once

#include "backends/engine_report.h"
#include "dispatch/target_info.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonferry {

/// Follows the published cache events of targets through gaps and restarts. Decision code without I/O; not thread-safe.
class cache_event_tracker {
public:
    /// The number to ask a target's events after. It is one below the last known event, so that an answer without that
    /// event shows a restart of the target or a gap.
    std::uint64_t resume_position(const std::string& target) const;

    /// What an answer to that question means.
    struct result {
        std::vector<cache_event> events;
        bool incomplete = false; ///< events are missing: ask for what the target holds and pass it to `resync`
    };
    result apply(const std::string& target, const engine_cache_events& answer);

    /// Returns the changes that lead to what a target holds.
    std::vector<cache_event> resync(const std::string& target, const engine_cache_state& held);

private:
    struct target_state_of_cache {
        std::uint64_t last = 0;
        std::set<std::uint64_t> prefixes; ///< held as far as known
    };

    std::map<std::string, target_state_of_cache> m_targets;
};

} // namespace lagoonferry
