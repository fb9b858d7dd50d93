#include "document/document_table.h"

#include "document/document_schema.h"

#include <algorithm>
#include <functional>

namespace lagoonferry {

namespace {

constexpr timestamp fetch_timeout = std::chrono::seconds(1);
constexpr timestamp initial_backoff = std::chrono::milliseconds(100);
constexpr std::size_t max_backoff_doublings = 5;
constexpr std::size_t max_fetches = 8;
constexpr std::size_t max_sources = 8;

/// Heartbeats that carry a changed version. With 3 receivers each, it reaches every process of a fleet of 700 with high
/// probability.
constexpr std::size_t announcements_per_change = 12;

} // namespace

void document_table::learn(std::string_view peer, std::span<const document_version> versions)
{
    for (const document_version& known : versions) {
        note_version(peer, known);
    }
}

void document_table::merge_version_list(std::string_view peer, std::span<const document_version> versions)
{
    learn(peer, versions);
    m_list_received = true;
    for (const document_version& known : versions) {
        std::uint64_t& required = m_required[known.service];
        required = std::max(required, known.version);
    }
}

bool document_table::install(document_record record)
{
    entry& item = m_entries[record.service];
    item.highest_known = std::max(item.highest_known, version_of(item));
    if (record.version <= version_of(item)) {
        return reject(result_code::document_conflict, "version " + std::to_string(version_of(item)) + " is in force");
    }
    if (record.version < item.highest_known) {
        return reject(result_code::document_conflict,
                      "the newer version " + std::to_string(item.highest_known) + " is known");
    }
    document_check check = check_document(record.body);
    if (!check.document) {
        return reject(result_code::document_invalid, describe(check.faults));
    }
    if (check.document->service != record.service) {
        return reject(result_code::document_invalid, "the document names the service " + check.document->service);
    }
    item.highest_known = record.version;
    item.sources.clear();
    item.fetch.reset();
    item.failed_fetches = 0;
    item.announcements_left = announcements_per_change;
    item.in_force = std::make_shared<document_in_force>(std::move(record), std::move(*check.document));
    return true;
}

std::vector<document_fetch> document_table::start_fetches(timestamp now)
{
    std::vector<document_fetch> started;
    for (auto& [service, item] : m_entries) {
        if (needs_fetch(item, now) && fetches_in_flight() < max_fetches) {
            started.push_back(start_fetch(service, item, now));
        }
    }
    return started;
}

void document_table::fetch_failed(const document_fetch& fetch, timestamp now)
{
    const auto it = m_entries.find(fetch.service);
    if (it != m_entries.end() && it->second.fetch == fetch) {
        end_fetch(it->second, now);
    }
}

std::vector<document_version> document_table::next_heartbeat(std::size_t limit, std::size_t min_count)
{
    std::vector<std::string> services = recent_changes(limit);
    auto it = m_entries.upper_bound(m_last_announced);
    for (std::size_t n = 0; n < m_entries.size() && services.size() < min_count; ++n) {
        it = it == m_entries.end() ? m_entries.begin() : it;
        if (it->second.in_force && std::ranges::find(services, it->first) == services.end()) {
            services.push_back(it->first);
            m_last_announced = it->first;
        }
        ++it;
    }
    std::vector<document_version> result;
    std::ranges::transform(services, std::back_inserter(result), [&](const std::string& service) {
        return document_version{service, version_of(m_entries.find(service)->second)};
    });
    return result;
}

std::shared_ptr<const document_in_force> document_table::find(std::string_view service) const
{
    const auto it = m_entries.find(service);
    return it == m_entries.end() ? nullptr : it->second.in_force;
}

std::vector<std::shared_ptr<const document_in_force>> document_table::all() const
{
    std::vector<std::shared_ptr<const document_in_force>> result;
    for (const auto& [service, item] : m_entries) {
        if (item.in_force) {
            result.push_back(item.in_force);
        }
    }
    return result;
}

std::vector<document_version> document_table::versions() const
{
    std::vector<document_version> result;
    for (const auto& [service, item] : m_entries) {
        if (item.in_force) {
            result.push_back({service, version_of(item)});
        }
    }
    return result;
}

bool document_table::ready() const
{
    return m_list_received && std::ranges::all_of(m_required, [&](const auto& required) {
               const auto it = m_entries.find(required.first);
               return it != m_entries.end() && version_of(it->second) >= required.second;
           });
}

void document_table::note_version(std::string_view peer, const document_version& known)
{
    entry& item = m_entries[known.service];
    if (known.version <= version_of(item) || known.version < item.highest_known) {
        return;
    }
    if (known.version > item.highest_known) {
        item.highest_known = known.version;
        item.sources.clear();
        item.failed_fetches = 0;
        item.retry_at = {};
    }
    const bool is_new = std::ranges::find(item.sources, peer) == item.sources.end();
    if (!peer.empty() && is_new && item.sources.size() < max_sources) {
        item.sources.emplace_back(peer);
    }
}

std::uint64_t document_table::version_of(const entry& item)
{
    return item.in_force ? item.in_force->record.version : 0;
}

bool document_table::needs_fetch(entry& item, timestamp now)
{
    if (item.fetch && now - item.fetch_started >= fetch_timeout) {
        end_fetch(item, now);
    }
    return item.highest_known > version_of(item) && !item.fetch && now >= item.retry_at;
}

document_fetch document_table::start_fetch(const std::string& service, entry& item, timestamp now)
{
    const std::size_t source_index = item.failed_fetches % (item.sources.size() + 1);
    const std::string peer = source_index < item.sources.size() ? item.sources[source_index] : "";
    document_fetch fetch{peer, service, item.highest_known};
    item.fetch = fetch;
    item.fetch_started = now;
    return fetch;
}

void document_table::end_fetch(entry& item, timestamp now)
{
    const std::size_t doublings = std::min(item.failed_fetches, max_backoff_doublings);
    item.fetch.reset();
    item.retry_at = now + initial_backoff * (1 << doublings);
    ++item.failed_fetches;
}

std::size_t document_table::fetches_in_flight() const
{
    const auto in_flight = [](const auto& item) { return item.second.fetch.has_value(); };
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, in_flight));
}

std::vector<std::string> document_table::recent_changes(std::size_t limit)
{
    std::vector<std::pair<std::size_t, std::string>> recent;
    for (const auto& [service, item] : m_entries) {
        if (item.in_force && item.announcements_left > 0) {
            recent.emplace_back(item.announcements_left, service);
        }
    }
    std::ranges::sort(recent, std::greater{}, &std::pair<std::size_t, std::string>::first);
    recent.resize(std::min(recent.size(), limit));
    std::vector<std::string> services;
    for (const auto& [left, service] : recent) {
        --m_entries.find(service)->second.announcements_left;
        services.push_back(service);
    }
    return services;
}

bool document_table::reject(result_code code, std::string text)
{
    m_failure = {code, std::move(text)};
    return false;
}

} // namespace lagoonferry
