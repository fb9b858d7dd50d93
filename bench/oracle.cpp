#include "oracle.h"

#include "dispatch/affinity_selector.h"
#include "fake_engine.h"

#include <vector>

namespace lagoonferry::bench {

queue_rank oracle_order::rank(const waiting_call& call, const account_usage& /*shares*/, timestamp /*now*/) const
{
    return {static_cast<int>(index_of(call.acquire.priority)), m_truth.remaining_work_us(call.acquire.prefix)};
}

std::optional<std::size_t> oracle_selector::choose(const waiting_call& call, std::span<const target_view> targets,
                                                   timestamp now, random_source& random)
{
    const engine_spec reference;
    std::vector<target_view> known(targets.begin(), targets.end());
    for (auto& view : known) {
        const double speed = m_truth.speed(view.id);
        view.step_us = (reference.step_base_us + reference.step_per_call_us) / speed;
        view.step_growth = reference.step_per_call_us / (reference.step_base_us + reference.step_per_call_us);
        view.prefill_us = reference.prefill_us / speed;
        view.cached_tokens = m_truth.cached(view.id, call.acquire.prefix);
    }
    waiting_call exact = call;
    exact.acquire.expected_output = m_truth.output(call.acquire.prefix);
    return affinity_selector().choose(exact, known, now, random);
}

} // namespace lagoonferry::bench
