#include "dispatch/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace lagoonferry {

namespace {

constexpr double recent_weight = 0.3;
constexpr double usual_weight = 0.02;
constexpr double usual_weight_while_slow = 0.002; // a lasting change of speed becomes usual after some minutes
constexpr timestamp recovery_half_life = std::chrono::seconds(5);
constexpr double prefill_fall = 0.2;  // a prompt that waited for others says little about the speed,
constexpr double prefill_rise = 0.01; // so that the estimate follows the lower samples
constexpr double slow_factor = 1.8;
constexpr double least_prefill_tokens = 256; // below this the first token says more about the batch

constexpr double fit_memory = 0.995; // per observation; a busy target makes about ten in a second
constexpr double least_fit_weight = 20;
constexpr double least_fit_spread = 2; // variance of the batch below which the slope is noise
constexpr double least_growth = 0.01;
constexpr double largest_growth = 0.3;

void approach(double& value, double sample, double weight)
{
    value = value == 0 ? sample : value + weight * (sample - value);
}

} // namespace

void latency_estimator::observe_step(double per_token_us, double batch, timestamp now)
{
    const double alone = per_token_us / batch_factor(batch);
    approach(m_recent, alone, recent_weight);
    const bool slow = m_usual > 0 && alone > slow_factor * m_usual;
    approach(m_usual, alone, slow ? usual_weight_while_slow : usual_weight);
    if (!slow) {
        fit_growth(per_token_us, batch);
    }
    m_observed = now;
}

double latency_estimator::recent_step_us(timestamp now) const
{
    const auto age = static_cast<double>((now - m_observed).count());
    return m_usual + (m_recent - m_usual) * std::exp2(-age / static_cast<double>(recovery_half_life.count()));
}

void latency_estimator::fit_growth(double per_token_us, double batch)
{
    const auto add = [](double& sum, double value) { sum = sum * fit_memory + value; };
    add(m_weight, 1);
    add(m_batch, batch);
    add(m_batch_squared, batch * batch);
    add(m_time, per_token_us);
    add(m_batch_time, batch * per_token_us);
    const double spread = m_batch_squared / m_weight - (m_batch / m_weight) * (m_batch / m_weight);
    if (m_weight < least_fit_weight || spread < least_fit_spread) {
        return;
    }
    const double covariance = m_batch_time / m_weight - (m_batch / m_weight) * (m_time / m_weight);
    const double slope = covariance / spread;
    const double alone = m_time / m_weight - slope * (m_batch / m_weight - 1);
    if (alone > 0) {
        m_growth = std::clamp(slope / alone, least_growth, largest_growth);
    }
}

void latency_estimator::observe_prefill(double first_token_us, double tokens)
{
    if (tokens >= least_prefill_tokens) {
        const double sample = first_token_us / tokens;
        approach(m_prefill, sample, sample < m_prefill ? prefill_fall : prefill_rise);
    }
}

} // namespace lagoonferry
