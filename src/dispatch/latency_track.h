#pragma once

#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// Observed speed of one target, normalised by the number of calls it ran at the time. Not thread-safe.
class latency_track {
public:
    /// Share by which each further call of a batch lengthens a step.
    static constexpr double step_growth = 0.05;

    /// Notes the time between tokens seen by a call while `batch` calls were running, this one included.
    void observe_step(double per_token_us, std::uint32_t batch, timestamp now);

    /// Notes the time for `tokens` prompt tokens that were not cached.
    void observe_prefill(double first_token_us, std::uint32_t tokens);

    /// Time between tokens of a call that is alone, from the last second or so; 0 before any observation.
    double recent_step_us() const { return m_recent; }

    /// The same over the last minutes, without the times when the target was slow.
    double usual_step_us() const { return m_usual; }

    /// Time for a prompt token that is not cached; 0 before any observation.
    double prefill_us() const { return m_prefill; }

    /// Recent against usual time; 1 before any observation.
    double ratio() const { return m_usual > 0 ? m_recent / m_usual : 1.0; }

    timestamp observed() const { return m_observed; }

private:
    double m_recent = 0;
    double m_usual = 0;
    double m_prefill = 0;
    timestamp m_observed{0};
};

} // namespace lagoonferry
