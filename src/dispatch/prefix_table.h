#pragma once

#include "util/time.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonferry {

/// Which targets hold how much of a program's prompt, as far as known. Bounded; the prefix that was not used for the
/// longest time is forgotten first. Not thread-safe.
class prefix_table {
public:
    explicit prefix_table(std::size_t largest) : m_largest(largest) {}

    struct location {
        std::size_t target = 0;
        std::uint32_t tokens = 0;
    };

    /// Notes that `target` holds `tokens` of the prefix; 0 tokens removes it. Prefix 0 is ignored.
    void set(std::uint64_t prefix, std::size_t target, std::uint32_t tokens);

    /// Returns the targets that hold the prefix. Valid until the table changes.
    std::span<const location> locations_of(std::uint64_t prefix) const;

    /// Forgets everything about a target that lost its memory.
    void remove_target(std::size_t target);

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        std::vector<location> holdings;
        std::list<std::uint64_t>::iterator recent;
    };

    std::size_t m_largest;
    std::list<std::uint64_t> m_recent; ///< most recently used first
    std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace lagoonferry
