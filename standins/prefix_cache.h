#pragma once

#include "answer_script.h"

#include "util/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry::standin {

/// Cached prompt prefixes by program. Not thread-safe. Callers pass the current time.
class prefix_cache {
public:
    /// Called with the kind of a change, the program, and the tokens of its entry (before the change if it was
    /// removed).
    using event_handler = std::function<void(std::string_view kind, const std::string& program, std::uint64_t tokens)>;

    explicit prefix_cache(event_handler on_event);

    /// Removes a program's blocks from the cache and returns them. Empty if the program has none.
    std::vector<prompt_block> take(const std::string& program);

    /// Returns a program's blocks. Empty if the program has none.
    std::vector<prompt_block> peek(const std::string& program) const;

    /// Stores a program's blocks in place of its previous ones. An entry with a positive `pin_duration` is pinned: it
    /// is evicted only after all unpinned entries, and expires when the pin ends. `kind` is the kind of the event.
    void store(timestamp now, const std::string& program, std::vector<prompt_block> blocks, timestamp pin_duration,
               std::string_view kind);

    /// Drops a program's entry. Returns the number of dropped tokens.
    std::uint64_t release(const std::string& program);

    /// Evicts entries until at most `limit` tokens are cached. Unpinned entries are evicted before pinned ones, in each
    /// group the least recently used first.
    void evict_to(std::uint64_t limit);

    /// Drops entries whose pin has ended.
    void expire(timestamp now);

    std::optional<timestamp> next_expiry() const;
    std::uint64_t total_tokens() const { return m_total_tokens; }
    std::map<std::string, std::uint64_t> tokens_by_program() const;

private:
    static constexpr timestamp no_pin = timestamp::max();

    struct entry {
        std::vector<prompt_block> blocks;
        std::uint64_t tokens = 0;
        timestamp last_used{};
        timestamp pin_end = no_pin;
    };
    using entry_map = std::map<std::string, entry>;

    void drop(entry_map::iterator it, std::string_view kind);

    event_handler m_on_event;
    entry_map m_entries;
    std::uint64_t m_total_tokens = 0;
};

/// Returns the total number of tokens of a list of blocks. Thread-safe.
std::uint64_t token_sum(const std::vector<prompt_block>& blocks);

/// Returns the number of tokens in the longest common prefix of two lists. Thread-safe.
std::uint64_t common_prefix_tokens(const std::vector<prompt_block>& a, const std::vector<prompt_block>& b);

} // namespace lagoonferry::standin
