#include "routing/peer_loads.h"

#include <algorithm>
#include <iterator>

namespace lagoonferry {

void peer_loads::on_load_report(std::string_view gateway, std::span<const target_load> loads, timestamp now)
{
    reporting_gateway& sender = m_gateways.try_emplace(std::string(gateway)).first->second;
    sender.received = now;
    std::vector<std::string>& targets = sender.targets;
    std::ranges::for_each(targets, [&](const std::string& target) { remove(gateway, target); });
    targets.clear();
    std::ranges::transform(loads, std::back_inserter(targets), &target_load::id);
    for (const target_load& load : loads) {
        m_by_target[load.id].push_back(
            {std::string(gateway), load.in_flight, load.uncached_tokens, load.failures, now});
    }
}

std::size_t peer_loads::count_reporting_since(timestamp since) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_gateways, [since](const auto& pair) { return pair.second.received >= since; }));
}

std::span<const peer_loads::peer_load> peer_loads::at(std::string_view target) const
{
    const auto it = m_by_target.find(target);
    return it == m_by_target.end() ? std::span<const peer_load>{} : std::span(it->second);
}

void peer_loads::remove(std::string_view gateway, std::string_view target)
{
    const auto it = m_by_target.find(target);
    if (it == m_by_target.end()) {
        return;
    }
    std::erase_if(it->second, [gateway](const peer_load& item) { return item.gateway == gateway; });
    if (it->second.empty()) {
        m_by_target.erase(it);
    }
}

} // namespace lagoonferry
