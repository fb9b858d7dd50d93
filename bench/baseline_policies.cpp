#include "baseline_policies.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace lagoonferry::bench {

namespace {

std::vector<std::size_t> open_targets(std::span<const target_view> targets)
{
    std::vector<std::size_t> open;
    for (std::size_t n = 0; n < targets.size(); ++n) {
        if (targets[n].open) {
            open.push_back(n);
        }
    }
    return open;
}

template <class Load>
std::size_t least_loaded(std::span<const target_view> targets, random_source& random, Load load)
{
    std::vector<std::size_t> best;
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (const auto n : open_targets(targets)) {
        const auto value = load(targets[n]);
        if (value < least) {
            least = value;
            best.clear();
        }
        if (value == least) {
            best.push_back(n);
        }
    }
    return best.at(random.below(best.size()));
}

} // namespace

std::optional<std::size_t> random_selector::choose(const waiting_call& /*call*/, std::span<const target_view> targets,
                                                   timestamp /*now*/, random_source& random)
{
    const auto open = open_targets(targets);
    return open.at(random.below(open.size()));
}

std::optional<std::size_t> round_robin_selector::choose(const waiting_call& /*call*/,
                                                        std::span<const target_view> targets, timestamp /*now*/,
                                                        random_source& /*random*/)
{
    while (!targets[m_next % targets.size()].open) {
        ++m_next;
    }
    return m_next++ % targets.size();
}

std::optional<std::size_t> least_reported_load_selector::choose(const waiting_call& /*call*/,
                                                                std::span<const target_view> targets, timestamp /*now*/,
                                                                random_source& random)
{
    return least_loaded(targets, random, [](const target_view& t) { return t.reported_running + t.reported_waiting; });
}

std::optional<std::size_t> two_random_choices_selector::choose(const waiting_call& /*call*/,
                                                               std::span<const target_view> targets, timestamp /*now*/,
                                                               random_source& random)
{
    const auto open = open_targets(targets);
    const auto a = open.at(random.below(open.size()));
    const auto b = open.at(random.below(open.size()));
    return targets[b].in_flight < targets[a].in_flight ? b : a;
}

std::optional<std::size_t> least_in_flight_selector::choose(const waiting_call& /*call*/,
                                                            std::span<const target_view> targets, timestamp /*now*/,
                                                            random_source& random)
{
    return least_loaded(targets, random, [](const target_view& t) { return t.in_flight; });
}

queue_rank fifo_order::rank(const waiting_call& call, const account_usage& /*shares*/, timestamp /*now*/) const
{
    return {0, static_cast<double>(call.sequence)};
}

queue_rank priority_fifo_order::rank(const waiting_call& call, const account_usage& /*shares*/, timestamp /*now*/) const
{
    return {static_cast<int>(index_of(call.acquire.priority)), static_cast<double>(call.sequence)};
}

} // namespace lagoonferry::bench
