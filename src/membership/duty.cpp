#include "membership/duty.h"

#include "util/rendezvous.h"

#include <algorithm>
#include <array>
#include <map>

namespace lagoonferry {

namespace {

constexpr std::array<std::string_view, 2> duty_names{"poll_instances", "watch_documents"};

struct holder {
    std::string id;
    double score = 0;
};

} // namespace

std::vector<std::string> duty_holders(duty what, std::span<const member> members)
{
    const std::uint64_t key = stable_hash(duty_names.at(static_cast<std::size_t>(what)));
    std::map<std::string, holder> by_domain;
    for (const member& item : members) {
        const double score = rendezvous_score(key, stable_hash(item.id), 1);
        holder& best = by_domain[item.failure_domain];
        if (best.id.empty() || score > best.score) {
            best = {item.id, score};
        }
    }
    std::vector<std::string> result;
    std::ranges::transform(by_domain, std::back_inserter(result), [](const auto& item) { return item.second.id; });
    return result;
}

bool has_duty(duty what, std::span<const member> members, std::string_view id)
{
    const auto holders = duty_holders(what, members);
    return std::ranges::find(holders, id) != holders.end();
}

} // namespace lagoonferry
