#pragma once

#include "util/time.h"

#include <cstddef>
#include <optional>

namespace lagoonferry {

/// Decides what a stopping gateway still accepts and when its process ends, so that no accepted request is cut off.
/// Callers keep using its address for some seconds after the stop has begun. No I/O. Not thread-safe.
class stop_schedule {
public:
    /// Starts the stop. `grace` is the time until the process is killed.
    void begin(timestamp grace, timestamp now);

    bool stopping() const { return m_began_at.has_value(); }

    /// Returns whether a request that ends within `max_duration` is accepted. Requests that arrive early in the stop
    /// are always accepted: nearly all of them end long before the process.
    bool accepts(timestamp max_duration, timestamp now) const;

    /// Returns whether the process may end, given the number of requests that it is serving. Precondition: stopping.
    bool may_exit(std::size_t active_requests, timestamp now);

private:
    std::optional<timestamp> m_began_at;
    timestamp m_end{};        ///< the process ends at the latest
    timestamp m_idle_since{}; ///< there was no request since
    timestamp m_open_until{}; ///< requests of any duration are accepted
};

} // namespace lagoonferry
