#include "membership/partition_owners.h"

#include <algorithm>

namespace lagoonferry {

partition_owners::partition_owners(std::string self) : m_self(std::move(self)) {}

void partition_owners::set_own(std::vector<owned_partition> own)
{
    std::erase_if(m_owners, [&](const auto& item) { return item.second.id == m_self; });
    m_own = std::move(own);
    learn(m_self, m_own);
}

void partition_owners::learn(std::string_view owner, std::span<const owned_partition> partitions, std::uint64_t start)
{
    for (const owned_partition& owned : partitions) {
        known_owner& known = m_owners[owned.partition];
        if (owned.epoch >= known.epoch) {
            known = {std::string(owner), owned.epoch, start};
        }
    }
}

std::optional<known_owner> partition_owners::find(std::uint32_t partition) const
{
    const auto it = m_owners.find(partition);
    return it == m_owners.end() ? std::nullopt : std::optional(it->second);
}

std::vector<owned_partition> partition_owners::next_heartbeat(std::size_t limit)
{
    std::vector<owned_partition> result;
    const std::size_t count = std::min(limit, m_own.size());
    for (std::size_t n = 0; n < count; ++n) {
        m_next %= m_own.size();
        result.push_back(m_own[m_next++]);
    }
    return result;
}

} // namespace lagoonferry
