#include "dispatch/group_map.h"

#include "util/rendezvous.h"

#include <algorithm>
#include <bit>
#include <map>

namespace lagoonferry {

namespace {

using targets_by_key = std::map<std::string, std::vector<std::string>>;

/// Sorts candidates by their rendezvous weight for a key, highest first; equal weights by name.
void order_by_weight(std::vector<std::string>& candidates, std::uint64_t key)
{
    std::ranges::sort(candidates, [key](const std::string& a, const std::string& b) {
        const auto wa = rendezvous_weight(key, a);
        const auto wb = rendezvous_weight(key, b);
        return wa != wb ? wa > wb : a < b;
    });
}

std::vector<std::string> numbered_names(const std::string& stem, std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t n = 0; n < count; ++n) {
        names.push_back(stem + "/" + std::to_string(n));
    }
    return names;
}

void split_domain(const std::string& stem, const std::vector<std::string>& targets, targets_by_key& groups)
{
    const std::size_t needed = (targets.size() + group_map::max_group_size - 1) / group_map::max_group_size;
    const auto names = numbered_names(stem, std::bit_ceil(needed));
    for (const auto& target : targets) {
        auto order = names;
        order_by_weight(order, stable_hash(target));
        groups[order.front()].push_back(target);
    }
}

void split_model(const std::string& model, const std::vector<const target_info*>& targets, targets_by_key& groups)
{
    if (targets.size() <= group_map::max_group_size) {
        std::ranges::transform(targets, std::back_inserter(groups[model]), &target_info::id);
        return;
    }
    targets_by_key domains;
    for (const auto* target : targets) {
        domains[model + "/" + target->failure_domain].push_back(target->id);
    }
    for (const auto& [stem, ids] : domains) {
        split_domain(stem, ids, groups);
    }
}

} // namespace

group_map::group_map(std::span<const target_info> targets, std::vector<std::string> dispatchers)
    : m_dispatchers(std::move(dispatchers))
{
    std::map<std::string, std::vector<const target_info*>> models;
    for (const auto& target : targets) {
        if (target.state != target_state::gone) {
            models[target.model].push_back(&target);
        }
    }
    for (const auto& [model, members] : models) {
        targets_by_key groups;
        split_model(model, members, groups);
        for (auto& [id, ids] : groups) {
            std::ranges::sort(ids);
            m_groups.push_back({id, model, std::move(ids)});
        }
    }
    std::ranges::sort(m_groups, {}, &target_group::id);
}

std::vector<std::string> group_map::groups_of(std::string_view model, std::uint64_t prefix) const
{
    std::vector<std::string> ids;
    for (const auto& group : m_groups) {
        if (group.model == model) {
            ids.push_back(group.id);
        }
    }
    order_by_weight(ids, prefix);
    return ids;
}

std::vector<std::string> group_map::dispatchers_of(std::string_view group) const
{
    auto order = m_dispatchers;
    order_by_weight(order, stable_hash(group));
    return order;
}

std::optional<std::string> group_map::group_of(std::string_view target) const
{
    const auto it = std::ranges::find_if(
        m_groups, [&](const target_group& group) { return std::ranges::binary_search(group.targets, target); });
    if (it == m_groups.end()) {
        return std::nullopt;
    }
    return it->id;
}

} // namespace lagoonferry
