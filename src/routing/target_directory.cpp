#include "routing/target_directory.h"

#include <algorithm>
#include <set>

namespace lagoonferry {

namespace {

/// Removed entries are kept for this time, so that an outdated change cannot add them again.
constexpr timestamp removed_entry_retention = std::chrono::seconds(60);

/// The same for targets that have said themselves that they leave: the list may show such a start of a target again.
constexpr timestamp leaving_entry_retention = std::chrono::minutes(10);

} // namespace

std::vector<target_change> target_directory::apply(std::span<const target_change> changes, timestamp now)
{
    std::vector<target_change> applied;
    for (target_change item : changes) {
        const bool changed =
            item.record ? put(*item.record, item.revision) : remove(item, m_outages.grace_left(now), now);
        if (changed) {
            applied.push_back(item);
        }
        advance(item.revision);
    }
    purge_removed(now);
    return applied;
}

std::vector<target_change> target_directory::apply_peer_changes(std::span<const target_change> changes, timestamp now)
{
    std::vector<target_change> applied;
    for (target_change item : changes) {
        if (item.record ? put(*item.record, item.revision) : remove(item, timestamp{}, now)) {
            applied.push_back(item);
        }
        advance(item.revision);
    }
    return applied;
}

std::vector<target_change> target_directory::replace(std::span<const target_change> all, std::uint64_t revision,
                                                     timestamp now)
{
    std::vector<target_change> applied = apply(all, now);
    std::set<std::string_view> present;
    std::ranges::transform(all, std::inserter(present, present.end()), &target_change::id);
    for (const auto& [id, item] : m_entries) {
        if (!item.removed && !present.contains(id) && item.revision <= revision) {
            applied.push_back({id, revision, std::nullopt, true});
        }
    }
    for (target_change& item : applied) {
        if (item.removed) {
            remove(item, m_outages.grace_left(now), now);
        }
    }
    advance(revision);
    return applied;
}

bool target_directory::put(const target_record& record, std::uint64_t revision)
{
    const auto [it, added] = m_entries.try_emplace(record.id);
    entry& item = it->second;
    if (!added && (revision <= item.revision || record.start < item.record.start)) {
        return false;
    }
    const bool restarted = record.start > item.record.start;
    // An outdated record of the same start, written late, must not make a draining target usable again.
    if (!added && !restarted && !item.removed && record.sequence < item.record.sequence) {
        item.revision = revision;
        return false;
    }
    const bool relevant = added || item.removed || !item.record.has_same_properties(record);
    item.leaving = (item.leaving && !restarted) || record.draining;
    item.record = record;
    item.revision = revision;
    item.removed = false;
    return relevant;
}

bool target_directory::remove(target_change& change, timestamp lapse_grace_left, timestamp now)
{
    const auto it = m_entries.find(change.id);
    if (it == m_entries.end() || it->second.removed || change.revision < it->second.revision) {
        return false;
    }
    if (change.maybe_lapsed) { // as the gateway judges that has read the removal
        lapse_grace_left = m_outages.accept_grace(change.lapse_grace_left.value_or(timestamp::max()), now);
    }
    change.maybe_lapsed = lapse_grace_left > timestamp{};
    change.lapse_grace_left = lapse_grace_left;
    it->second.removed = true;
    it->second.removed_at = now;
    it->second.usable_until = now + lapse_grace_left;
    it->second.revision = change.revision;
    return true;
}

void target_directory::mark_leaving(std::string_view id, std::uint64_t start)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && it->second.record.start == start) {
        it->second.leaving = true;
    }
}

bool target_directory::accepts_requests(const entry& item, timestamp now) const
{
    return !item.leaving && (!item.removed || now < item.usable_until);
}

std::vector<const target_record*> target_directory::usable(std::string_view service, timestamp now) const
{
    std::vector<const target_record*> found;
    for (const auto& [id, item] : m_entries) {
        if (item.record.service == service && accepts_requests(item, now)) {
            found.push_back(&item.record);
        }
    }
    return found;
}

const target_record* target_directory::find_usable(std::string_view id, timestamp now) const
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() && accepts_requests(it->second, now) ? &it->second.record : nullptr;
}

bool target_directory::listed(std::string_view id) const
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() && !it->second.removed;
}

bool target_directory::may_be_live(std::string_view id, timestamp now) const
{
    const auto it = m_entries.find(id);
    return it != m_entries.end() && (!it->second.removed || now < it->second.usable_until);
}

void target_directory::purge_removed(timestamp now)
{
    std::erase_if(m_entries, [&](const auto& pair) {
        const timestamp retention = pair.second.leaving ? leaving_entry_retention : removed_entry_retention;
        return pair.second.removed && now - pair.second.removed_at > retention;
    });
}

} // namespace lagoonferry
