#pragma once

#include <atomic>
#include <cstddef>

namespace lagoonferry {

/// Counts the bytes of history that the partitions of one process hold in memory, against one bound. Above the bound no
/// partition accepts new work. A partition drops texts while the sum is near the bound and the partition holds more
/// than an equal share; some partition holds at least its share then, so the sum falls. Thread-safe.
class history_memory {
public:
    explicit history_memory(std::size_t limit) : m_limit(limit) {}

    /// A partition that counted `before` bytes counts `after` bytes from now on.
    void change(std::size_t before, std::size_t after);

    std::size_t used() const { return m_used; }

    bool exceeded() const { return m_used > m_limit; }

    /// Returns whether texts should be dropped to make room for the turns that are running.
    bool near_limit() const { return m_used > m_limit - m_limit / 8; }

    /// Returns whether another text fits without dropping one.
    bool has_room(std::size_t bytes) const { return m_used + bytes <= m_limit - m_limit / 4; }

    /// What a partition may hold while the sum is near the bound.
    std::size_t share() const;

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
    std::atomic<std::size_t> m_holders{0}; ///< partitions that count any bytes
};

} // namespace lagoonferry
