#include "kv_state.h"

#include <algorithm>
#include <ranges>

namespace lagoonferry::standin {

kv_entry kv_state::get(std::string_view key) const
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? kv_entry{} : kv_entry{it->second.value, it->second.version};
}

kv_write kv_state::put(std::string_view key, std::uint64_t expected_version, std::string_view value,
                       std::string_view lease)
{
    const auto it = m_records.find(key);
    const std::uint64_t current_version = it == m_records.end() ? 0 : it->second.version;
    if (current_version != expected_version || (!lease.empty() && !m_leases.contains(lease))) {
        return {kv_status::conflict, current_version};
    }
    const std::string name(key);
    const std::uint64_t version = record_change(name, false);
    m_records[name] = {std::string(value), version, std::string(lease)};
    return {kv_status::ok, version};
}

kv_write kv_state::erase(std::string_view key, std::uint64_t expected_version)
{
    const auto it = m_records.find(key);
    const std::uint64_t current_version = it == m_records.end() ? 0 : it->second.version;
    if (current_version != expected_version) {
        return {kv_status::conflict, current_version};
    }
    if (it != m_records.end()) {
        record_change(it->first, true);
        m_records.erase(it);
    }
    return {kv_status::ok, 0};
}

std::vector<std::string> kv_state::list(std::string_view prefix) const
{
    std::vector<std::string> out;
    for (auto it = m_records.lower_bound(prefix); it != m_records.end() && it->first.starts_with(prefix); ++it) {
        out.push_back(it->first);
    }
    return out;
}

std::vector<kv_change> kv_state::changes(std::string_view prefix, std::uint64_t after) const
{
    std::vector<kv_change> out;
    for (auto it = m_changes.upper_bound(after); it != m_changes.end(); ++it) {
        if (it->second.key.starts_with(prefix)) {
            out.push_back({it->second.key, it->first, it->second.erased});
        }
    }
    return out;
}

std::string kv_state::grant_lease(timestamp now, timestamp time_to_live)
{
    std::string id = "lease-" + std::to_string(++m_leases_granted);
    m_leases[id] = {time_to_live, now + time_to_live};
    return id;
}

bool kv_state::renew_lease(timestamp now, std::string_view lease)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end()) {
        return false;
    }
    it->second.expires = now + it->second.time_to_live;
    return true;
}

bool kv_state::revoke_lease(std::string_view lease)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end()) {
        return false;
    }
    erase_keys_of(lease);
    m_leases.erase(it);
    return true;
}

bool kv_state::expire_leases(timestamp now)
{
    bool removed = false;
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.expires > now) {
            ++it;
            continue;
        }
        removed |= erase_keys_of(it->first);
        it = m_leases.erase(it);
    }
    return removed;
}

std::optional<timestamp> kv_state::next_expiry() const
{
    const auto expiries = m_leases | std::views::values | std::views::transform(&lease_state::expires);
    return expiries.empty() ? std::nullopt : std::optional(std::ranges::min(expiries));
}

std::uint64_t kv_state::record_change(const std::string& key, bool erased)
{
    std::uint64_t& last = m_last_change[key];
    m_changes.erase(last);
    last = ++m_last_version;
    m_changes[last] = {key, erased};
    return last;
}

bool kv_state::erase_keys_of(std::string_view lease)
{
    const auto is_bound = [&](const auto& it) { return it.second.lease == lease; };
    bool removed = false;
    for (auto it = std::ranges::find_if(m_records, is_bound); it != m_records.end();
         it = std::ranges::find_if(m_records, is_bound)) {
        record_change(it->first, true);
        m_records.erase(it);
        removed = true;
    }
    return removed;
}

} // namespace lagoonferry::standin
