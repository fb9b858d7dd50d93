#include "conversation/turn_table.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// Turns are kept this much longer than asked, because clocks and the moment at which callers start to count differ.
constexpr std::chrono::seconds retention_margin{10};

/// Memory of an entry beside its texts.
constexpr std::size_t entry_overhead_bytes = 400;

} // namespace

std::size_t turn_table::size_of(const turn_record& record)
{
    return record.id.size() + record.previous.size() + record.input.size() + record.output.size() +
           entry_overhead_bytes;
}

turn_put_result turn_table::put(const turn_record& record, std::uint64_t segment, timestamp now)
{
    const timestamp expires = now + record.retention + retention_margin;
    if (m_entries.contains(record.id)) {
        keep_chain_until(record.id, expires);
        return turn_put_result::known;
    }
    if (!record.previous.empty() && !m_entries.contains(record.previous)) {
        return turn_put_result::previous_missing;
    }
    if (!make_room(size_of(record))) {
        return turn_put_result::full;
    }
    const std::uint64_t position = m_next_position++;
    m_entries.emplace(record.id, entry{record, position, segment, expires});
    m_order.emplace(position, record.id);
    m_bytes += size_of(record);
    keep_chain_until(record.previous, expires);
    return turn_put_result::stored;
}

void turn_table::keep_chain_until(std::string_view id, timestamp expires)
{
    for (auto it = m_entries.find(id); it != m_entries.end(); it = m_entries.find(it->second.record.previous)) {
        it->second.expires = std::max(it->second.expires, expires);
    }
}

bool turn_table::make_room(std::size_t bytes)
{
    if (m_overflow == overflow::evict_oldest) {
        while (!m_order.empty() && m_bytes + bytes > m_max_bytes) {
            erase(m_entries.find(m_order.begin()->second));
        }
    }
    return m_bytes + bytes <= m_max_bytes;
}

void turn_table::erase(entries::iterator it)
{
    m_bytes -= size_of(it->second.record);
    m_order.erase(it->second.position);
    m_entries.erase(it);
}

std::vector<const turn_record*> turn_table::chain(std::string_view id) const
{
    std::vector<const turn_record*> turns;
    for (std::string_view next = id; !next.empty();) {
        const auto it = m_entries.find(next);
        if (it == m_entries.end()) {
            return {}; // an earlier turn was evicted
        }
        turns.push_back(&it->second.record);
        next = it->second.record.previous;
    }
    std::ranges::reverse(turns);
    return turns;
}

turn_table::page turn_table::read_page(std::uint64_t from, std::size_t max_bytes) const
{
    page out;
    out.next = from;
    std::size_t bytes = 0;
    for (auto it = m_order.lower_bound(from); it != m_order.end(); ++it) {
        if (bytes >= max_bytes) {
            out.more = true;
            break;
        }
        const turn_record& record = m_entries.find(it->second)->second.record;
        out.records.push_back(&record);
        out.next = it->first + 1;
        bytes += size_of(record);
    }
    return out;
}

void turn_table::expire(timestamp now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto current = it++;
        if (current->second.expires <= now) {
            erase(current);
        }
    }
}

std::set<std::uint64_t> turn_table::used_segments() const
{
    std::set<std::uint64_t> used;
    std::ranges::transform(m_entries, std::inserter(used, used.end()),
                           [](const auto& pair) { return pair.second.segment; });
    return used;
}

} // namespace lagoonferry
