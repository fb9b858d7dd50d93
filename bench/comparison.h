#pragma once

#include "policies.h"
#include "run_figures.h"
#include "scenario.h"
#include "workload.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoonferry::bench {

/// Returns whether a policy runs in a scenario. Ablations skip `steady`: its demand does not exercise the mechanisms
/// that they switch off.
bool runs_in_scenario(scenario s, const policy_row& policy);

/// Figures of all runs of one workload.
class comparison {
public:
    comparison(workload w, std::size_t seeds);

    const workload& compared_workload() const { return m_workload; }
    std::size_t seeds() const { return m_seeds; }

    run_figures& at(scenario s, std::size_t policy, std::size_t seed);
    const run_figures& at(scenario s, std::size_t policy, std::size_t seed) const;

    /// Returns the values of one figure over all seeds in ascending order.
    std::vector<double> values(scenario s, std::size_t policy, double run_figures::*figure) const;

    /// Returns the median over the seeds. With an even number of seeds, it is the upper of the two middle values.
    double median(scenario s, std::size_t policy, double run_figures::*figure) const;

    /// Returns the lowest median of a figure among the baselines.
    double best_baseline(scenario s, double run_figures::*figure) const;

private:
    workload m_workload;
    std::size_t m_seeds;
    std::array<std::vector<run_figures>, scenario_count> m_figures; ///< by policy, then seed
};

/// Runs all policies, scenarios and seeds of the workloads on `threads` threads. The result does not depend on the
/// number of threads.
std::vector<comparison> compare(const std::vector<workload>& workloads, std::size_t seeds, std::size_t threads);

} // namespace lagoonferry::bench
