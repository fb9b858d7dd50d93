#include "membership/address_lookup.h"

#include "settings/endpoint.h"
#include "util/rendezvous.h"

#include <algorithm>
#include <array>
#include <functional>

namespace lagoonferry {

namespace {

/// Loads in percent. Each one that an instance reaches lowers its weight by `weight_per_step`.
constexpr std::array<std::uint32_t, 4> load_steps{50, 65, 80, 95};

/// An instance returns to the step below only when its load is this many percentage points under the threshold.
constexpr std::uint32_t hysteresis_percent = 5;

constexpr double weight_per_step = 0.2;

} // namespace

address_lookup::address_lookup(std::chrono::milliseconds ttl) : m_ttl(ttl) {}

void address_lookup::update(std::span<const member> entries)
{
    m_candidates.clear();
    std::erase_if(m_load_steps, [&](const auto& item) {
        return std::ranges::find(entries, item.first, &member::id) == entries.end();
    });
    for (const member& item : entries) {
        if (item.state == member_state::alive && item.address.http_port != 0) {
            m_candidates.push_back(
                {to_string(endpoint{item.address.ip, item.address.http_port}), stable_hash(item.id), weight_of(item)});
        }
    }
}

address_response address_lookup::order(std::string_view account, std::string_view caller, std::size_t limit) const
{
    const std::uint64_t key = stable_hash(std::string(account) + '\n' + std::string(caller));
    std::vector<std::pair<double, const candidate*>> scored;
    scored.reserve(m_candidates.size());
    for (const candidate& item : m_candidates) {
        scored.emplace_back(rendezvous_score(key, item.hash, item.weight), &item);
    }
    std::ranges::sort(scored, std::greater{}, &std::pair<double, const candidate*>::first);
    scored.resize(std::min(scored.size(), limit));
    address_response response;
    response.ttl = m_ttl;
    std::ranges::transform(scored, std::back_inserter(response.addresses),
                           [](const auto& item) { return item.second->address; });
    return response;
}

double address_lookup::weight_of(const member& item)
{
    std::uint32_t& step = m_load_steps[item.id];
    while (step < load_steps.size() && item.load_percent >= load_steps.at(step)) {
        ++step;
    }
    while (step > 0 && item.load_percent + hysteresis_percent < load_steps.at(step - 1)) {
        --step;
    }
    return item.capacity * (1 - weight_per_step * step);
}

} // namespace lagoonferry
