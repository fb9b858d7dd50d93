#pragma once

#include "conversation/turn_record.h"
#include "util/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

enum class turn_put_result {
    stored,
    known,            ///< the turn is already there
    previous_missing, ///< the turn that it continues is not there
    full,             ///< the size limit would be exceeded
};

/// Turns in memory with the turns that they continue. A turn is kept for its retention after it was put, and at least
/// as long as each turn that continues it. No I/O. Not thread-safe.
class turn_table {
public:
    /// What happens when the size limit is reached.
    enum class overflow { refuse, evict_oldest };

    explicit turn_table(std::size_t max_bytes, overflow policy = overflow::refuse)
        : m_max_bytes(max_bytes), m_overflow(policy)
    {
    }

    /// Adds a turn. `segment` names the place where it is stored on disk; see `used_segments`.
    turn_put_result put(const turn_record& record, std::uint64_t segment, timestamp now);

    bool contains(std::string_view id) const { return m_entries.contains(id); }

    /// Returns a turn and all turns before it, the oldest first; empty if the turn or one before it is not there. The
    /// pointers are valid until the next change.
    std::vector<const turn_record*> chain(std::string_view id) const;

    /// Turns in the order in which they were put, so that each comes after the one that it continues.
    struct page {
        std::vector<const turn_record*> records;
        std::uint64_t next = 0; ///< position after the last one
        bool more = false;
    };

    /// Returns the turns from a position on, of about `max_bytes` in total. The pointers are valid until the next
    /// change.
    page read_page(std::uint64_t from, std::size_t max_bytes) const;

    /// Removes the turns whose retention is over.
    void expire(timestamp now);

    /// Returns the segments of the present turns.
    std::set<std::uint64_t> used_segments() const;

    std::size_t size() const { return m_entries.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct entry {
        turn_record record;
        std::uint64_t position = 0;
        std::uint64_t segment = 0;
        timestamp expires{};
    };
    using entries = std::map<std::string, entry, std::less<>>;

    static std::size_t size_of(const turn_record& record);
    void keep_chain_until(std::string_view id, timestamp expires);
    void erase(entries::iterator it);
    bool make_room(std::size_t bytes);

    std::size_t m_max_bytes;
    overflow m_overflow;
    entries m_entries;
    std::map<std::uint64_t, std::string> m_order; ///< ids by position
    std::uint64_t m_next_position = 1;
    std::size_t m_bytes = 0;
};

} // namespace lagoonferry
