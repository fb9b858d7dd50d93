#include "dispatch/slot_table.h"

#include <algorithm>

namespace lagoonferry {

slot_record& slot_table::add(slot_record record)
{
    auto holder = m_holders.find(record.holder);
    if (holder == m_holders.end()) {
        holder = m_holders.emplace(record.holder, holder_record{record.granted, {}}).first;
    }
    holder->second.slot_by_request[record.request] = record.slot;
    const auto slot = record.slot;
    return m_slots.insert_or_assign(slot, std::move(record)).first->second;
}

slot_record* slot_table::find(std::uint64_t slot)
{
    const auto it = m_slots.find(slot);
    return it == m_slots.end() ? nullptr : &it->second;
}

slot_record* slot_table::find_request(std::string_view holder, std::uint64_t request)
{
    const auto it = m_holders.find(holder);
    if (it == m_holders.end()) {
        return nullptr;
    }
    const auto slot = it->second.slot_by_request.find(request);
    return slot == it->second.slot_by_request.end() ? nullptr : find(slot->second);
}

void slot_table::remove(std::uint64_t slot)
{
    const auto it = m_slots.find(slot);
    if (it == m_slots.end()) {
        return;
    }
    const auto holder = m_holders.find(it->second.holder);
    if (holder != m_holders.end()) {
        holder->second.slot_by_request.erase(it->second.request);
        if (holder->second.slot_by_request.empty()) {
            m_holders.erase(holder);
        }
    }
    m_slots.erase(it);
}

void slot_table::update_last_seen(std::string_view holder, timestamp now)
{
    const auto it = m_holders.find(holder);
    if (it != m_holders.end()) {
        it->second.last_seen = now;
    }
}

std::vector<std::uint64_t> slot_table::slots_silent_since(timestamp since) const
{
    std::vector<std::uint64_t> silent;
    for (const auto& [name, holder] : m_holders) {
        if (holder.last_seen >= since) {
            continue;
        }
        for (const auto& [request, slot] : holder.slot_by_request) {
            silent.push_back(slot);
        }
    }
    std::ranges::sort(silent);
    return silent;
}

void slot_table::for_each(const std::function<void(slot_record&)>& f)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(m_slots.size());
    std::ranges::transform(m_slots, std::back_inserter(ids), [](const auto& item) { return item.first; });
    std::ranges::sort(ids);
    for (const auto id : ids) {
        f(m_slots.at(id));
    }
}

} // namespace lagoonferry
