#pragma once

#include "util/time.h"

#include <deque>
#include <utility>

namespace lagoonferry::standin {

/// A value whose readers see it with a lag. One thread at a time.
template <class T>
class lagged_value {
public:
    /// Changes within `resolution` of each other count as one, which bounds the memory of frequent changes.
    explicit lagged_value(timestamp resolution = timestamp{0}) : m_resolution(resolution) {}

    /// Sets the value from `now` on.
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

    /// Returns the value at `when`, or the oldest known one. Precondition: a value was set.
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
