#pragma once

#include "distribution.h"
#include "run_figures.h"
#include "scenario.h"
#include "workload.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lagoonferry::bench {

/// Collects the samples of one run and computes its figures. Not thread-safe.
///
/// A short call belongs to a safety or interactive program and takes at most 2 s alone on an engine of speed 1. A long
/// call belongs to any class and takes at least 10 s there. The waiting time of a short call runs from its first
/// acquire until an engine starts it. It counts as 0 unless a long call of the same model waits or runs at that time.
class run_recorder {
public:
    static constexpr double max_short_call_us = 2e6;
    static constexpr double min_long_call_us = 10e6;

    explicit run_recorder(const workload& w, scenario s) : m_workload(w), m_scenario(s) {}

    /// Records a program that ended or, with `abandoned`, was abandoned by its caller.
    void program_ended(service_class c, std::uint32_t account, timestamp started, timestamp ended, bool abandoned);

    void first_token(service_class c, timestamp waited);

    /// Records a short call that started, or was abandoned, after `waited`. `behind_long`: a long call of the same
    /// model was waiting or running.
    void short_call_started(timestamp waited, bool behind_long);

    /// Records that an engine starts a prompt of which it has `cached` tokens in its cache. `previously_cached` is the
    /// largest number of these tokens that any engine of the model has held.
    void prompt_started(std::uint32_t prompt, std::uint32_t cached, std::uint32_t previously_cached);

    void add_idle_tokens(double tokens) { m_idle_tokens.push_back(tokens); }
    void acquire_sent(service_class c) { ++m_acquires.at(index_of(c)); }
    void refused(service_class c, timestamp waited);

    run_figures figures(const duration_histogram& token_gaps, double preempted, double granted) const;

private:
    double served_share(service_class c) const;

    const workload& m_workload;
    scenario m_scenario;
    std::vector<double> m_foreground;
    std::vector<double> m_light;
    std::vector<double> m_bulk;
    std::vector<double> m_first_token;
    std::vector<double> m_short_wait;
    std::vector<double> m_idle_tokens;
    std::vector<double> m_refuse_time;
    per_class<double> m_peak_programs{};
    per_class<double> m_peak_served{};
    per_class<double> m_acquires{};
    per_class<double> m_refused{};
    double m_abandoned = 0;
    double m_prompt_tokens = 0;
    double m_recomputed = 0;
};

} // namespace lagoonferry::bench
