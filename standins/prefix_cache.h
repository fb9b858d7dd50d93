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

/// Cached prompts by program. One thread at a time; time is passed in.
class prefix_cache {
public:
    /// Called with the kind of a change, the program and the tokens that the program held or holds.
    using event_handler = std::function<void(std::string_view kind, const std::string& program, std::uint64_t tokens)>;

    explicit prefix_cache(event_handler on_event);

    /// Takes a program's blocks out of the cache, or an empty list.
    std::vector<prompt_block> take(const std::string& program);

    /// Reads a program's blocks, or an empty list.
    std::vector<prompt_block> peek(const std::string& program) const;

    /// Stores a program's blocks in place of its former ones. With a `pin_duration`, the entry is evicted only after
    /// entries without one and expires when the pin ends. `kind` names the event.
    void store(timestamp now, const std::string& program, std::vector<prompt_block> blocks, timestamp pin_duration,
               std::string_view kind);

    /// Drops a program's entry and returns its tokens.
    std::uint64_t release(const std::string& program);

    /// Evicts until at most `limit` tokens are held: entries without a pin first, the longest unused first.
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

/// Returns the tokens of a list of blocks. Thread-safe.
std::uint64_t token_sum(const std::vector<prompt_block>& blocks);

/// Returns the tokens of the longest common prefix of two lists. Thread-safe.
std::uint64_t common_prefix_tokens(const std::vector<prompt_block>& a, const std::vector<prompt_block>& b);

} // namespace lagoonferry::standin
