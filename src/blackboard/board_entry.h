#pragma once

#include <memory>
#include <mutex>

namespace lagoonferry {

/// One entry of the blackboard: an immutable snapshot that one controller replaces and others read.
template <class T>
class board_entry {
public:
    /// Returns the current snapshot. It stays valid while the caller holds the pointer. Thread-safe.
    std::shared_ptr<const T> read() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }

    /// Replaces the snapshot. Thread-safe; only one controller writes each entry.
    void write(T value)
    {
        auto next = std::make_shared<const T>(std::move(value));
        const std::lock_guard lock(m_mutex);
        m_value.swap(next);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value = std::make_shared<const T>();
};

} // namespace lagoonferry
