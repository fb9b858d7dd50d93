#include "dispatch/latency_track.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr double recent_weight = 0.3;
constexpr double usual_weight = 0.02;
constexpr double usual_weight_while_slow = 0.002; // a lasting change of speed becomes usual after some minutes
constexpr double prefill_fall = 0.2;              // a prompt that waited for others says little about the speed,
constexpr double prefill_rise = 0.01;             // so that the estimate follows the lower samples
constexpr double slow_factor = 1.8;
constexpr std::uint32_t least_prefill_tokens = 256; // below this the first token says more about the batch

void approach(double& value, double sample, double weight)
{
    value = value == 0 ? sample : value + weight * (sample - value);
}

} // namespace

void latency_track::observe_step(double per_token_us, std::uint32_t batch, timestamp now)
{
    const double others = batch > 0 ? batch - 1 : 0;
    const double alone = per_token_us / (1 + step_growth * others);
    approach(m_recent, alone, recent_weight);
    const bool slow = m_usual > 0 && alone > slow_factor * m_usual;
    approach(m_usual, alone, slow ? usual_weight_while_slow : usual_weight);
    m_observed = now;
}

void latency_track::observe_prefill(double first_token_us, std::uint32_t tokens)
{
    if (tokens >= least_prefill_tokens) {
        const double sample = first_token_us / tokens;
        approach(m_prefill, sample, sample < m_prefill ? prefill_fall : prefill_rise);
    }
}

} // namespace lagoonferry
