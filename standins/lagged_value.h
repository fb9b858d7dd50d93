#pragma once

#include "util/time.h"

#include <deque>
#include <utility>

namespace lagoonferry::standin {

/// The recent history of a value, for readers that see the value with a lag. Not thread-safe.
template <class T>
class lagged_value {
public:
    /// Changes that follow within `resolution` are merged, which bounds the memory of frequently changed values.
    explicit lagged_value(timestamp resolution = timestamp{0}) : m_resolution(resolution) {}

    /// Sets the value that applies from `now` on.
    void set(timestamp now, T value)
    {
        if (!m_values.empty() && now - m_values.back().first < m_resolution) {
            m_values.back().second = std::move(value);
            return;
        }
        m_values.emplace_back(now, std::move(value));
        while (m_values.size() > 1 && m_values[1].first < now - max_lag) {
            m_values.pop_front();
        }
    }

    /// Returns the value at the time `when`, or the oldest value in the history. Precondition: a value was set.
    const T& at(timestamp when) const
    {
        auto it = m_values.rbegin();
        while (std::next(it) != m_values.rend() && it->first > when) {
            ++it;
        }
        return it->second;
    }

private:
    static constexpr timestamp max_lag = std::chrono::minutes(1);

    timestamp m_resolution;
    std::deque<std::pair<timestamp, T>> m_values;
};

} // namespace lagoonferry::standin
