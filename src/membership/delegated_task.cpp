#include "membership/delegated_task.h"

#include "util/rendezvous.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <map>

namespace lagoonferry {

namespace {

constexpr std::array<std::string_view, 3> task_names{"poll_instances", "watch_documents", "relay_changes"};

struct candidate {
    std::string_view id;
    double score = 0;
};

} // namespace

std::vector<std::string> delegates(delegated_task task, std::span<const member> members, std::size_t per_domain)
{
    const std::uint64_t key = stable_hash(task_names.at(static_cast<std::size_t>(task)));
    std::map<std::string_view, std::vector<candidate>> by_domain;
    for (const member& item : members) {
        by_domain[item.failure_domain].push_back({item.id, rendezvous_score(key, stable_hash(item.id), 1)});
    }
    std::vector<std::string> result;
    for (auto& [domain, candidates] : by_domain) {
        const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(std::min(per_domain, candidates.size()));
        std::ranges::partial_sort(candidates, last, std::greater{}, &candidate::score);
        std::transform(candidates.begin(), last, std::back_inserter(result),
                       [](const candidate& item) { return std::string(item.id); });
    }
    return result;
}

bool is_delegate(delegated_task task, std::span<const member> members, std::string_view id, std::size_t per_domain)
{
    const auto delegate_ids = delegates(task, members, per_domain);
    return std::ranges::find(delegate_ids, id) != delegate_ids.end();
}

} // namespace lagoonferry
