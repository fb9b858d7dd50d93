#include "membership/placement.h"

#include "util/rendezvous.h"

#include <algorithm>
#include <functional>

namespace lagoonferry {

placement::placement(std::span<const member> entries)
{
    std::ranges::transform(entries, std::back_inserter(m_candidates), [](const member& item) {
        return candidate{item.id, item.failure_domain, stable_hash(item.id), static_cast<double>(item.capacity)};
    });
}

std::optional<partition_placement> placement::of(std::uint32_t partition) const
{
    const auto order = ordered(partition);
    if (order.empty()) {
        return std::nullopt;
    }
    return partition_placement{order.front()->id, backups_in(order, *order.front())};
}

std::vector<std::string> placement::backups_for(std::uint32_t partition, std::string_view owner) const
{
    const auto it = std::ranges::find(m_candidates, owner, &candidate::id);
    if (it == m_candidates.end()) {
        return {};
    }
    return backups_in(ordered(partition), *it);
}

std::vector<std::string> placement::order(std::uint32_t partition) const
{
    std::vector<std::string> ids;
    std::ranges::transform(ordered(partition), std::back_inserter(ids), &candidate::id);
    return ids;
}

std::optional<std::string> placement::successor(std::uint32_t partition, std::span<const std::string> backups) const
{
    const auto order = ordered(partition);
    if (order.empty()) {
        return std::nullopt;
    }
    const auto has_replica = [&](const candidate* item) {
        return std::ranges::find(backups, item->id) != backups.end();
    };
    const auto it = std::ranges::find_if_not(order, has_replica);
    return it == order.end() ? order.front()->id : (*it)->id;
}

std::vector<const placement::candidate*> placement::ordered(std::uint32_t partition) const
{
    const std::uint64_t key = stable_hash("partition/" + std::to_string(partition));
    std::vector<std::pair<double, const candidate*>> scored;
    scored.reserve(m_candidates.size());
    for (const candidate& item : m_candidates) {
        scored.emplace_back(rendezvous_score(key, item.hash, item.weight), &item);
    }
    std::ranges::sort(scored, std::greater{}, &std::pair<double, const candidate*>::first);
    std::vector<const candidate*> order;
    std::ranges::transform(scored, std::back_inserter(order), &std::pair<double, const candidate*>::second);
    return order;
}

std::vector<std::string> placement::backups_in(const std::vector<const candidate*>& order, const candidate& owner)
{
    std::vector<std::string> domains{owner.failure_domain};
    std::vector<std::string> backups;
    for (const candidate* item : order) {
        if (backups.size() == max_backups) {
            break;
        }
        if (std::ranges::find(domains, item->failure_domain) == domains.end()) {
            domains.push_back(item->failure_domain);
            backups.push_back(item->id);
        }
    }
    return backups;
}

} // namespace lagoonferry
