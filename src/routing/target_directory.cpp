#include "routing/target_directory.h"

#include <algorithm>
#include <set>

namespace lagoonferry {

namespace {

/// Removed rows are kept so that an old report cannot bring them back.
constexpr timestamp removed_row_kept = std::chrono::seconds(60);

} // namespace

std::vector<target_change> target_directory::apply(std::span<const target_change> changes, timestamp now)
{
    std::vector<target_change> news;
    for (target_change item : changes) {
        const bool changed = item.record ? put(*item.record, item.revision) : remove(item, in_trouble(now), now);
        if (changed) {
            news.push_back(item);
        }
        advance(item.revision);
    }
    forget_old(now);
    return news;
}

std::vector<target_change> target_directory::apply_peer_changes(std::span<const target_change> changes, timestamp now)
{
    std::vector<target_change> news;
    for (target_change item : changes) {
        if (item.record ? put(*item.record, item.revision) : remove(item, false, now)) {
            news.push_back(item);
        }
        advance(item.revision);
    }
    return news;
}

std::vector<target_change> target_directory::replace(std::span<const target_change> all, std::uint64_t revision,
                                                     timestamp now)
{
    std::vector<target_change> news = apply(all, now);
    std::set<std::string_view> present;
    std::ranges::transform(all, std::inserter(present, present.end()), &target_change::id);
    for (const auto& [id, item] : m_rows) {
        if (!item.removed && !present.contains(id) && item.revision <= revision) {
            news.push_back({id, revision, std::nullopt, true});
        }
    }
    for (target_change& item : news) {
        if (item.removed) {
            remove(item, in_trouble(now), now);
        }
    }
    advance(revision);
    return news;
}

bool target_directory::put(const target_record& record, std::uint64_t revision)
{
    const auto [it, added] = m_rows.try_emplace(record.id);
    row& item = it->second;
    if (!added && (revision <= item.revision || record.start < item.record.start)) {
        return false;
    }
    const bool restarted = record.start > item.record.start;
    // An older report of the same start, written late, must not bring a draining target back.
    if (!added && !restarted && !item.removed && record.sequence < item.record.sequence) {
        item.revision = revision;
        return false;
    }
    const bool news = added || item.removed || !item.record.equal_except_sequence(record);
    item.leaving = (item.leaving && !restarted) || record.draining;
    item.record = record;
    item.revision = revision;
    item.removed = false;
    return news;
}

bool target_directory::remove(target_change& change, bool may_have_lapsed, timestamp now)
{
    const auto it = m_rows.find(change.id);
    if (it == m_rows.end() || it->second.removed || change.revision < it->second.revision) {
        return false;
    }
    change.maybe_lapsed = change.maybe_lapsed || may_have_lapsed;
    it->second.removed = true;
    it->second.maybe_lapsed = change.maybe_lapsed;
    it->second.removed_at = now;
    it->second.revision = change.revision;
    return true;
}

void target_directory::note_store_failure(timestamp now)
{
    m_last_trouble = now;
}

void target_directory::mark_leaving(std::string_view id, std::uint64_t start)
{
    const auto it = m_rows.find(id);
    if (it != m_rows.end() && it->second.record.start == start) {
        it->second.leaving = true;
    }
}

bool target_directory::in_trouble(timestamp now) const
{
    return m_last_trouble && now - *m_last_trouble <= m_timing.store_failure_window;
}

bool target_directory::in_grace(const row& item, timestamp now) const
{
    return item.maybe_lapsed && now - item.removed_at < m_timing.lapse_grace;
}

bool target_directory::may_get_work(const row& item, timestamp now) const
{
    return !item.leaving && (!item.removed || in_grace(item, now));
}

std::vector<const target_record*> target_directory::usable(std::string_view service, timestamp now) const
{
    std::vector<const target_record*> found;
    for (const auto& [id, item] : m_rows) {
        if (item.record.service == service && may_get_work(item, now)) {
            found.push_back(&item.record);
        }
    }
    return found;
}

const target_record* target_directory::find_usable(std::string_view id, timestamp now) const
{
    const auto it = m_rows.find(id);
    return it != m_rows.end() && may_get_work(it->second, now) ? &it->second.record : nullptr;
}

bool target_directory::listed(std::string_view id) const
{
    const auto it = m_rows.find(id);
    return it != m_rows.end() && !it->second.removed;
}

void target_directory::forget_old(timestamp now)
{
    std::erase_if(m_rows, [&](const auto& pair) {
        return pair.second.removed && now - pair.second.removed_at > removed_row_kept;
    });
}

} // namespace lagoonferry
