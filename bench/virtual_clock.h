#pragma once

#include "util/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lagoonferry::bench {

/// Event queue of a discrete-event simulation. Events run in order of their time, and events of the same time in the
/// order in which they were added. Not thread-safe.
class virtual_clock {
public:
    using action = std::function<void()>;

    timestamp now() const { return m_now; }

    /// Adds an event. A time in the past counts as the current time.
    void at(timestamp when, action run) { m_events.push({std::max(when, m_now), m_next++, std::move(run)}); }

    void after(timestamp delay, action run) { at(m_now + delay, std::move(run)); }

    /// Runs all events up to and including `end`, or until `stop` returns true.
    template <class Stop>
    void run_until(timestamp end, Stop stop)
    {
        while (!m_events.empty() && m_events.top().when <= end && !stop()) {
            auto next = std::move(const_cast<event&>(m_events.top()).run);
            m_now = m_events.top().when;
            m_events.pop();
            next();
        }
    }

private:
    struct event {
        timestamp when;
        std::uint64_t number;
        action run;
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    timestamp m_now{0};
    std::uint64_t m_next = 0;
    std::priority_queue<event> m_events;
};

} // namespace lagoonferry::bench
