#pragma once

#include "util/time.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonferry {

/// Prompt prefixes and the targets that are known to cache them. Bounded, with LRU eviction of prefixes. Not
/// thread-safe.
class prefix_table {
public:
    explicit prefix_table(std::size_t max_entries) : m_max_entries(max_entries) {}

    struct location {
        std::size_t target = 0;
        std::uint32_t tokens = 0;
    };

    /// Records that `target` caches `tokens` tokens of the prefix; 0 removes the entry. Prefix 0 is ignored.
    void set(std::uint64_t prefix, std::size_t target, std::uint32_t tokens);

    /// Returns the targets that cache the prefix. Valid until the table changes.
    std::span<const location> locations_of(std::uint64_t prefix) const;

    /// Removes all entries of a target whose cache is lost.
    void remove_target(std::size_t target);

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        std::vector<location> locations;
        std::list<std::uint64_t>::iterator lru_position;
    };

    std::size_t m_max_entries;
    std::list<std::uint64_t> m_lru; ///< most recently used first
    std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace lagoonferry
