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
    const engine_spec reference_spec;
    std::vector<target_view> true_views(targets.begin(), targets.end());
    for (auto& view : true_views) {
        const double speed = m_truth.speed(view.id);
        view.step_us = (reference_spec.step_base_us + reference_spec.step_per_call_us) / speed;
        view.step_growth =
            reference_spec.step_per_call_us / (reference_spec.step_base_us + reference_spec.step_per_call_us);
        view.prefill_us = reference_spec.prefill_us / speed;
        view.cached_tokens = m_truth.cached(view.id, call.acquire.prefix);
    }
    waiting_call exact_call = call;
    exact_call.acquire.expected_output = m_truth.output(call.acquire.prefix);
    return affinity_selector().choose(exact_call, true_views, now, random);
}

} // namespace lagoonferry::bench
