#pragma once

#include <atomic>
#include <cstddef>

namespace lagoonferry {

/// Accounts for the history bytes that all partitions of one process hold in memory, against a common limit. Above the
/// limit no partition accepts new work. Near the limit, each partition that holds more than `partition_limit()` evicts
/// texts. At least one partition holds more than that near the limit, so the total decreases. Thread-safe.
class history_memory {
public:
    explicit history_memory(std::size_t limit) : m_limit(limit) {}

    /// Changes the use of one partition from `before` to `after` bytes.
    void update(std::size_t before, std::size_t after);

    std::size_t used() const { return m_used; }

    bool exceeded() const { return m_used > m_limit; }

    /// Returns whether texts should be evicted to leave headroom for running turns.
    bool near_limit() const { return m_used > m_limit - m_limit / 8; }

    /// Returns whether `bytes` more fit without an eviction.
    bool has_headroom(std::size_t bytes) const { return m_used + bytes <= m_limit - m_limit / 4; }

    /// Returns how many bytes one partition may hold while the total is near the limit.
    std::size_t partition_limit() const;

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
    std::atomic<std::size_t> m_partitions{0}; ///< number of partitions that hold any bytes
};

} // namespace lagoonferry
