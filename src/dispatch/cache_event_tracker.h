#pragma once

#include "backends/engine_report.h"
#include "dispatch/target_info.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonferry {

/// Tracks the prefix caches of targets from their cache events and detects lost events and restarts. No I/O. Not
/// thread-safe.
class cache_event_tracker {
public:
    /// Returns the sequence number after which to request the events of a target. It is one below the last known event,
    /// so a response that lacks this event shows that events were lost or that the target has restarted.
    std::uint64_t resume_position(const std::string& target) const;

    /// Result of processing one response.
    struct result {
        std::vector<cache_event> events;
        bool incomplete = false; ///< events are missing: request the full cache content and pass it to `resync`
    };
    /// Processes the response to a request for the events after `resume_position`.
    result apply(const std::string& target, const engine_cache_events& answer);

    /// Replaces the known cache content of a target. Returns the changes against the content known before.
    std::vector<cache_event> resync(const std::string& target, const engine_cache_state& held);

private:
    struct cache_state {
        std::uint64_t last = 0;
        std::set<std::uint64_t> prefixes; ///< known to be cached
    };

    std::map<std::string, cache_state> m_targets;
};

} // namespace lagoonferry
