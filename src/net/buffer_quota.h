#pragma once

#include <cstddef>

namespace lagoonferry {

/// Bounds the bytes that all buffers of a kind hold together. One buffer may hold half of what the others leave free,
/// so that few large ones use the quota, and many of them still leave room for small ones. Not thread-safe.
class buffer_quota {
public:
    /// The buffers hold less than `limit` bytes together.
    explicit buffer_quota(std::size_t limit) : m_limit(limit) {}

    std::size_t held_bytes() const { return m_held; }

private:
    friend class buffer_share;

    std::size_t m_limit;
    std::size_t m_held = 0;
};

/// The bytes that one buffer holds of a quota. They are returned when the share ends. Not thread-safe.
class buffer_share {
public:
    /// `quota` must outlive the share.
    explicit buffer_share(buffer_quota& quota) : m_quota(quota) {}
    ~buffer_share() { m_quota.m_held -= m_bytes; }
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    /// Returns the most bytes that the buffer may hold now.
    std::size_t limit() const;

    /// Sets the size of the buffer. Returns false, and changes nothing, if it grows beyond `limit()`.
    bool resize(std::size_t bytes);

private:
    buffer_quota& m_quota;
    std::size_t m_bytes = 0;
};

} // namespace lagoonferry
