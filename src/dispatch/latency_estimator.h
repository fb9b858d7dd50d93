#pragma once

#include "util/time.h"

namespace lagoonferry {

/// Observed speed of one target, normalised by the number of calls it ran at the time. Not thread-safe.
class latency_estimator {
public:
    /// Notes the time between tokens seen by a call while `batch` calls were running, this one included.
    void observe_step(double per_token_us, double batch, timestamp now);

    /// Notes the time for `tokens` prompt tokens that were not cached.
    void observe_prefill(double first_token_us, double tokens);

    /// Time between tokens of a call that is alone, from the last seconds; 0 before any observation. Without new
    /// observations it returns to the usual time, so that a target that was slow is tried again.
    double recent_step_us(timestamp now) const;

    /// The same over the last minutes, without the times when the target was slow.
    double baseline_step_us() const { return m_usual; }

    /// Share by which each further call of a batch lengthens a step.
    double step_growth() const { return m_growth; }

    /// How much longer a step of `batch` calls takes than that of a call that is alone.
    double batch_factor(double batch) const { return 1 + m_growth * (batch > 1 ? batch - 1 : 0); }

    /// Time for a prompt token that is not cached; 0 before any observation.
    double prefill_us() const { return m_prefill; }

private:
    void fit_growth(double per_token_us, double batch);

    double m_recent = 0;
    double m_usual = 0;
    double m_prefill = 0;
    double m_growth = 0.05; ///< until the fit has seen different batches
    timestamp m_observed{0};

    // Sums of the linear fit of the time between tokens over the batch, with old samples fading.
    double m_weight = 0;
    double m_batch = 0;
    double m_batch_squared = 0;
    double m_time = 0;
    double m_batch_time = 0;
};

} // namespace lagoonferry
