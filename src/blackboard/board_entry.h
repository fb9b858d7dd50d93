#pragma once

#include <memory>
#include <mutex>

namespace lagoonferry {

/// One entry of the blackboard: an immutable snapshot that its controller replaces and others read.
template <class T>
class board_entry {
public:
    /// Returns the newest snapshot; it stays valid while the caller holds it. Thread-safe.
    std::shared_ptr<const T> read() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }

    /// Replaces the snapshot. Thread-safe; each entry has one controller that writes it.
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
