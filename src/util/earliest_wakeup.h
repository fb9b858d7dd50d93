#pragma once

#include "util/time.h"

#include <optional>

namespace lagoonferry {

/// Finds the earliest future time at which work becomes due. Times up to `now` are ignored: due work has already been
/// done, and work that is still blocked can only be unblocked by another event. One thread at a time.
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
