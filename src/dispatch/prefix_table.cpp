#include "dispatch/prefix_table.h"

#include <algorithm>

namespace lagoonferry {

void prefix_table::set(std::uint64_t prefix, std::size_t target, std::uint32_t tokens)
{
    if (prefix == 0) {
        return;
    }
    auto it = m_entries.find(prefix);
    if (it == m_entries.end()) {
        if (tokens == 0) {
            return;
        }
        m_lru.push_front(prefix);
        it = m_entries.emplace(prefix, entry{{}, m_lru.begin()}).first;
    }
    auto& e = it->second;
    m_lru.splice(m_lru.begin(), m_lru, e.lru_position);
    std::erase_if(e.locations, [&](const location& h) { return h.target == target; });
    if (tokens > 0) {
        e.locations.push_back({target, tokens});
    }
    if (e.locations.empty()) {
        m_lru.erase(e.lru_position);
        m_entries.erase(it);
    }
    if (m_entries.size() > m_max_entries) {
        m_entries.erase(m_lru.back());
        m_lru.pop_back();
    }
}

std::span<const prefix_table::location> prefix_table::locations_of(std::uint64_t prefix) const
{
    const auto it = m_entries.find(prefix);
    if (it == m_entries.end()) {
        return {};
    }
    return it->second.locations;
}

void prefix_table::remove_target(std::size_t target)
{
    const std::vector<std::uint64_t> prefixes(m_lru.rbegin(), m_lru.rend());
    for (const auto prefix : prefixes) {
        set(prefix, target, 0);
    }
}

} // namespace lagoonferry
