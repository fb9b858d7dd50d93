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
        m_recent.push_front(prefix);
        it = m_entries.emplace(prefix, entry{{}, m_recent.begin()}).first;
    }
    auto& e = it->second;
    m_recent.splice(m_recent.begin(), m_recent, e.recent);
    std::erase_if(e.holdings, [&](const location& h) { return h.target == target; });
    if (tokens > 0) {
        e.holdings.push_back({target, tokens});
    }
    if (e.holdings.empty()) {
        m_recent.erase(e.recent);
        m_entries.erase(it);
    }
    if (m_entries.size() > m_largest) {
        m_entries.erase(m_recent.back());
        m_recent.pop_back();
    }
}

std::span<const prefix_table::location> prefix_table::locations_of(std::uint64_t prefix) const
{
    const auto it = m_entries.find(prefix);
    if (it == m_entries.end()) {
        return {};
    }
    return it->second.holdings;
}

void prefix_table::remove_target(std::size_t target)
{
    const std::vector<std::uint64_t> prefixes(m_recent.rbegin(), m_recent.rend());
    for (const auto prefix : prefixes) {
        set(prefix, target, 0);
    }
}

} // namespace lagoonferry
