#include "dispatch/affinity_selector.h"

#include <algorithm>
#include <limits>

namespace lagoonferry {

namespace {

constexpr double default_output_tokens = 150; // tokens; used for a call without an estimate
constexpr timestamp max_prefix_wait = std::chrono::seconds(2);

} // namespace

double affinity_selector::cost_us(const waiting_call& call, const target_view& target) const
{
    const auto& a = call.acquire;
    const double output = a.expected_output > 0 ? a.expected_output : default_output_tokens;
    const double others = target.in_flight;
    const std::uint32_t cached = m_use_prefix ? std::min(target.cached_tokens, a.prompt_tokens) : 0;
    const double prefill = static_cast<double>(a.prompt_tokens - cached) * target.prefill_us;
    const double step = target.step_us * (1 + target.step_growth * others);
    const double delay_of_others = target.step_us * target.step_growth * others;
    return prefill * (1 + others) + output * (step + delay_of_others);
}

std::optional<std::size_t> affinity_selector::choose(const waiting_call& call, std::span<const target_view> targets,
                                                     timestamp now, random_source& /*random*/)
{
    const bool urgent = call.acquire.priority <= service_class::interactive;
    const bool may_wait = !urgent && now - call.arrived < max_prefix_wait;
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::max();
    double best_full_cost = std::numeric_limits<double>::max();
    for (std::size_t n = 0; n < targets.size(); ++n) {
        const auto& target = targets[n];
        if (target.open) {
            const double cost = cost_us(call, target);
            if (cost < best_cost) {
                best = n;
                best_cost = cost;
            }
        }
        else if (may_wait && m_use_prefix && target.cached_tokens > 0) {
            best_full_cost = std::min(best_full_cost, cost_us(call, target) + target.release_us);
        }
    }
    if (best_full_cost < best_cost) {
        return std::nullopt;
    }
    return best;
}

} // namespace lagoonferry
