#pragma once

#include "util/time.h"

#include <optional>

namespace lagoonferry {

/// Collects the earliest time at which something becomes due. Times that have passed are left out: what was due has
/// been done, and only another event can unblock the rest. One thread at a time.
class earliest_wakeup {
public:
    explicit earliest_wakeup(timestamp now) : m_now(now) {}

    void add(std::optional<timestamp> wake)
    {
        if (wake && *wake > m_now && (!m_earliest || *wake < *m_earliest)) {
            m_earliest = wake;
        }
    }

    std::optional<timestamp> earliest() const { return m_earliest; }

private:
    timestamp m_now;
    std::optional<timestamp> m_earliest;
};

} // namespace lagoonferry
