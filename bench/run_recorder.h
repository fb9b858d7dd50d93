#pragma once

#include "distribution.h"
#include "run_figures.h"
#include "scenario.h"
#include "workload.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lagoonferry::bench {

/// Collects the samples of one run and turns them into figures. Not thread-safe.
///
/// Short work: a call of a safety or interactive program that takes at most 2 s alone on an engine of speed 1. Long
/// work: a call of any class that takes at least 10 s there. The wait of short work is the time from asking for a slot
/// until an engine starts the call; it counts while long work of the same model is asked for or running, else as 0.
class run_recorder {
public:
    static constexpr double max_short_call_us = 2e6;
    static constexpr double min_long_call_us = 10e6;

    explicit run_recorder(const workload& w, scenario s) : m_workload(w), m_scenario(s) {}

    /// A program ended, or was given up by its caller.
    void program_ended(service_class c, std::uint32_t account, timestamp started, timestamp ended, bool given_up);

    void first_token(service_class c, timestamp waited);

    /// A short call started, or was given up before, after `waited`, with long work before it or not.
    void short_call_started(timestamp waited, bool behind_long);

    /// An engine starts a prompt of which it holds `cached` tokens; some engine of the model held `previously_cached`
    /// before.
    void prompt_started(std::uint32_t prompt, std::uint32_t cached, std::uint32_t previously_cached);

    void idle_held(double tokens) { m_idle_held.push_back(tokens); }
    void acquire_sent(service_class c) { ++m_acquires.at(index_of(c)); }
    void refused(service_class c, timestamp waited);

    run_figures figures(const duration_histogram& token_gaps, double preempted, double granted) const;

private:
    double served(service_class c) const;

    const workload& m_workload;
    scenario m_scenario;
    std::vector<double> m_foreground;
    std::vector<double> m_light;
    std::vector<double> m_bulk;
    std::vector<double> m_first_token;
    std::vector<double> m_short_wait;
    std::vector<double> m_idle_held;
    std::vector<double> m_refuse_time;
    per_class<double> m_crest_programs{};
    per_class<double> m_crest_served{};
    per_class<double> m_acquires{};
    per_class<double> m_refused{};
    double m_given_up = 0;
    double m_prompt_tokens = 0;
    double m_recomputed = 0;
};

} // namespace lagoonferry::bench
