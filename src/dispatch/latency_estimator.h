#pragma once

#include "util/time.h"

namespace lagoonferry {

/// Estimates the step and prefill times of one target from observations, normalized to a batch of one call. Not
/// thread-safe.
class latency_estimator {
public:
    /// Records the time between two tokens of a call while `batch` calls ran, this one included.
    void observe_step(double per_token_us, double batch, timestamp now);

    /// Records the time to the first token of a call with `tokens` uncached prompt tokens.
    void observe_prefill(double first_token_us, double tokens);

    /// Returns the step time for a batch of one call over the last seconds; 0 before any observation. Without new
    /// observations it decays to the baseline, so that a target that was slow is tried again.
    double recent_step_us(timestamp now) const;

    /// Returns the step time for a batch of one call over the last minutes. Slow phases hardly count.
    double baseline_step_us() const { return m_baseline; }

    /// Returns the relative growth of the step time for each further call of the batch.
    double step_growth() const { return m_growth; }

    /// Returns the step time for a batch of `batch` calls relative to that for one call.
    double batch_factor(double batch) const { return 1 + m_growth * (batch > 1 ? batch - 1 : 0); }

    /// Returns the prefill time for one uncached prompt token; 0 before any observation.
    double prefill_us() const { return m_prefill; }

private:
    void fit_growth(double per_token_us, double batch);

    double m_recent = 0;
    double m_baseline = 0;
    double m_prefill = 0;
    double m_growth = 0.05; ///< initial value, until the fit has seen different batch sizes
    timestamp m_last_observation{0};

    // Sums for a linear regression of the time between tokens over the batch size, with exponential decay of old
    // samples.
    double m_weight = 0;
    double m_batch = 0;
    double m_batch_squared = 0;
    double m_time = 0;
    double m_batch_time = 0;
};

} // namespace lagoonferry
