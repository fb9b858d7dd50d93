#include "dispatch/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace lagoonferry {

namespace {

constexpr double recent_weight = 0.3;
constexpr double baseline_weight = 0.02;
// With this weight a lasting change of speed reaches the baseline after some minutes.
constexpr double baseline_weight_while_slow = 0.002;
constexpr timestamp recovery_half_life = std::chrono::seconds(5);
// Samples of prompts that waited for others are too high, so the prefill estimate follows the lower samples.
constexpr double prefill_decrease_weight = 0.2;
constexpr double prefill_increase_weight = 0.01;
constexpr double slow_factor = 1.8;
constexpr double min_prefill_tokens = 256; // with fewer tokens the batch dominates the time to the first token

constexpr double fit_decay = 0.995; // decay per observation; a busy target yields about ten per second
constexpr double min_fit_weight = 20;
constexpr double min_fit_variance = 2; // variance of the batch size below which the slope is noise
constexpr double min_growth = 0.01;
constexpr double max_growth = 0.3;

void update_average(double& value, double sample, double weight)
{
    value = value == 0 ? sample : value + weight * (sample - value);
}

} // namespace

void latency_estimator::observe_step(double per_token_us, double batch, timestamp now)
{
    const double single_call_us = per_token_us / batch_factor(batch);
    update_average(m_recent, single_call_us, recent_weight);
    const bool slow = m_baseline > 0 && single_call_us > slow_factor * m_baseline;
    update_average(m_baseline, single_call_us, slow ? baseline_weight_while_slow : baseline_weight);
    if (!slow) {
        fit_growth(per_token_us, batch);
    }
    m_last_observation = now;
}

double latency_estimator::recent_step_us(timestamp now) const
{
    const auto age = static_cast<double>((now - m_last_observation).count());
    return m_baseline + (m_recent - m_baseline) * std::exp2(-age / static_cast<double>(recovery_half_life.count()));
}

void latency_estimator::fit_growth(double per_token_us, double batch)
{
    const auto add = [](double& sum, double value) { sum = sum * fit_decay + value; };
    add(m_weight, 1);
    add(m_batch, batch);
    add(m_batch_squared, batch * batch);
    add(m_time, per_token_us);
    add(m_batch_time, batch * per_token_us);
    const double variance = m_batch_squared / m_weight - (m_batch / m_weight) * (m_batch / m_weight);
    if (m_weight < min_fit_weight || variance < min_fit_variance) {
        return;
    }
    const double covariance = m_batch_time / m_weight - (m_batch / m_weight) * (m_time / m_weight);
    const double slope = covariance / variance;
    const double single_call_us = m_time / m_weight - slope * (m_batch / m_weight - 1);
    if (single_call_us > 0) {
        m_growth = std::clamp(slope / single_call_us, min_growth, max_growth);
    }
}

void latency_estimator::observe_prefill(double first_token_us, double tokens)
{
    if (tokens >= min_prefill_tokens) {
        const double sample = first_token_us / tokens;
        update_average(m_prefill, sample, sample < m_prefill ? prefill_decrease_weight : prefill_increase_weight);
    }
}

} // namespace lagoonferry
