#include "gateway/record_replicas.h"

#include "util/rendezvous.h"

#include <algorithm>
#include <functional>

namespace lagoonferry {

std::vector<std::string> surviving_replicas(std::string_view key, std::span<const std::string> live,
                                            const std::set<std::string, std::less<>>& lost, std::size_t replica_count)
{
    const std::uint64_t hash = stable_hash(key);
    std::set<std::string> ids(live.begin(), live.end());
    ids.insert(lost.begin(), lost.end());
    std::vector<std::string> order(ids.begin(), ids.end());
    std::ranges::sort(order, std::greater{}, [hash](const std::string& id) { return rendezvous_weight(hash, id); });
    order.resize(std::min(order.size(), replica_count));
    std::erase_if(order, [&lost](const std::string& id) { return lost.contains(id); });
    return order;
}

} // namespace lagoonferry
