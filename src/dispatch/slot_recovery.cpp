#include "dispatch/slot_recovery.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr timestamp query_interval = std::chrono::milliseconds(100);
constexpr double share_without_holders = 0.5;
constexpr unsigned tag_bits = 16;
constexpr std::uint64_t tag_mask = (1U << tag_bits) - 1;
constexpr std::uint32_t max_report_parts = 4096; // a report with more parts is malformed

} // namespace

slot_recovery::slot_recovery(const dispatch_settings& settings, std::uint64_t epoch, timestamp now)
    : m_recovery_timeout(settings.recovery_timeout), m_holder_timeout(settings.holder_timeout), m_epoch(epoch),
      m_highest_epoch(epoch), m_epoch_tag(epoch & tag_mask), m_started(now)
{
}

bool slot_recovery::note_epoch(std::uint64_t epoch)
{
    m_highest_epoch = std::max(m_highest_epoch, epoch);
    const bool newly_replaced = epoch > m_epoch && !m_replaced;
    m_replaced = m_replaced || epoch > m_epoch;
    return newly_replaced;
}

void slot_recovery::take_over(std::uint64_t epoch, timestamp now)
{
    m_highest_epoch = std::max(m_highest_epoch, epoch);
    m_epoch = (((m_highest_epoch >> tag_bits) + 1) << tag_bits) | m_epoch_tag;
    m_highest_epoch = m_epoch;
    m_started = now;
    m_next_query = now;
    m_replaced = false;
    m_all_reported = false;
    m_reported.clear();
    m_reported_count = 0;
    m_pending.clear();
}

void slot_recovery::set_holders(std::vector<std::string> holders)
{
    m_holders = std::move(holders);
    count_reported();
}

std::optional<std::vector<std::uint64_t>> slot_recovery::add_report_part(const slot_report& m)
{
    if ((m.epoch != 0 && m.epoch != m_epoch) || m.part >= m.parts || m.parts > max_report_parts) {
        return std::nullopt;
    }
    auto& pending = m_pending[m.holder];
    if (pending.report != m.report || pending.parts.size() != m.parts) {
        pending = {m.report, std::vector<bool>(m.parts, false), {}};
    }
    if (!pending.parts[m.part]) {
        pending.parts[m.part] = true;
        std::ranges::transform(m.slots, std::back_inserter(pending.slots), &held_slot::slot);
    }
    if (std::ranges::find(pending.parts, false) != pending.parts.end()) {
        return std::nullopt;
    }
    auto listed = std::move(pending.slots);
    m_pending.erase(m.holder);
    m_reported.insert(m.holder);
    count_reported();
    return listed;
}

double slot_recovery::grantable_share(timestamp now) const
{
    if (m_replaced) {
        return 0;
    }
    const auto elapsed = now - m_started;
    if (!m_holders) {
        return elapsed < m_recovery_timeout ? share_without_holders : 1;
    }
    if (m_all_reported || elapsed >= m_holder_timeout || (m_holders->empty() && elapsed >= m_recovery_timeout)) {
        return 1;
    }
    if (elapsed < m_recovery_timeout) {
        return 0;
    }
    return static_cast<double>(m_reported_count) / static_cast<double>(m_holders->size());
}

std::vector<std::string> slot_recovery::holders_to_query(timestamp now)
{
    std::vector<std::string> silent;
    if (m_all_reported || m_replaced || !m_holders || now < m_next_query || now - m_started >= m_holder_timeout) {
        return silent;
    }
    m_next_query = now + query_interval;
    std::ranges::copy_if(*m_holders, std::back_inserter(silent),
                         [&](const std::string& id) { return !m_reported.contains(id); });
    return silent;
}

void slot_recovery::count_reported()
{
    if (m_all_reported || !m_holders) {
        return;
    }
    const auto known = std::ranges::count_if(*m_holders, [&](const auto& id) { return m_reported.contains(id); });
    m_reported_count = static_cast<std::size_t>(known);
    m_all_reported = !m_holders->empty() && m_reported_count == m_holders->size();
}

} // namespace lagoonferry
