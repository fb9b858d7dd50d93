#include "prefix_cache.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace lagoonferry::standin {

prefix_cache::prefix_cache(event_handler on_event) : m_on_event(std::move(on_event)) {}

std::vector<prompt_block> prefix_cache::take(const std::string& program)
{
    const auto it = m_entries.find(program);
    if (it == m_entries.end()) {
        return {};
    }
    std::vector<prompt_block> blocks = std::move(it->second.blocks);
    m_total_tokens -= it->second.tokens;
    m_entries.erase(it);
    return blocks;
}

std::vector<prompt_block> prefix_cache::peek(const std::string& program) const
{
    const auto it = m_entries.find(program);
    return it == m_entries.end() ? std::vector<prompt_block>{} : it->second.blocks;
}

void prefix_cache::store(timestamp now, const std::string& program, std::vector<prompt_block> blocks,
                         timestamp pin_duration, std::string_view kind)
{
    take(program);
    if (program.empty() || blocks.empty()) {
        return;
    }
    const std::uint64_t tokens = token_sum(blocks);
    m_entries[program] = {std::move(blocks), tokens, now, pin_duration.count() > 0 ? now + pin_duration : no_pin};
    m_total_tokens += tokens;
    m_on_event(kind, program, tokens);
}

std::uint64_t prefix_cache::release(const std::string& program)
{
    const auto it = m_entries.find(program);
    if (it == m_entries.end()) {
        return 0;
    }
    const std::uint64_t tokens = it->second.tokens;
    drop(it, "released");
    return tokens;
}

void prefix_cache::evict_to(std::uint64_t limit)
{
    const auto eviction_order = [](const entry_map::value_type& it) {
        return std::tuple(it.second.pin_end != no_pin, it.second.last_used);
    };
    while (m_total_tokens > limit && !m_entries.empty()) {
        drop(std::ranges::min_element(m_entries, {}, eviction_order), "evicted");
    }
}

void prefix_cache::expire(timestamp now)
{
    const auto expired = [&](const entry_map::value_type& it) { return it.second.pin_end <= now; };
    for (auto it = std::ranges::find_if(m_entries, expired); it != m_entries.end();
         it = std::ranges::find_if(m_entries, expired)) {
        drop(it, "expired");
    }
}

std::optional<timestamp> prefix_cache::next_expiry() const
{
    timestamp next = no_pin;
    for (const auto& [program, it] : m_entries) {
        next = std::min(next, it.pin_end);
    }
    return next == no_pin ? std::nullopt : std::optional(next);
}

std::map<std::string, std::uint64_t> prefix_cache::tokens_by_program() const
{
    std::map<std::string, std::uint64_t> out;
    std::ranges::transform(m_entries, std::inserter(out, out.end()),
                           [](const auto& it) { return std::pair(it.first, it.second.tokens); });
    return out;
}

void prefix_cache::drop(entry_map::iterator it, std::string_view kind)
{
    const std::string program = it->first;
    const std::uint64_t tokens = it->second.tokens;
    m_total_tokens -= tokens;
    m_entries.erase(it);
    m_on_event(kind, program, tokens);
}

std::uint64_t token_sum(const std::vector<prompt_block>& blocks)
{
    return std::accumulate(blocks.begin(), blocks.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const prompt_block& it) { return sum + it.tokens; });
}

std::uint64_t common_prefix_tokens(const std::vector<prompt_block>& a, const std::vector<prompt_block>& b)
{
    const auto end = std::ranges::mismatch(a, b).in1;
    return token_sum({a.begin(), end});
}

} // namespace lagoonferry::standin
