#include "comparison.h"

#include "policy_run.h"

#include <algorithm>
#include <atomic>
#include <limits>
#include <thread>

namespace lagoonferry::bench {

namespace {

constexpr std::uint64_t first_seed = 1;

struct job {
    comparison* results;
    scenario run_scenario;
    std::size_t policy;
    std::size_t seed;
};

std::vector<job> all_jobs(std::vector<comparison>& comparisons)
{
    std::vector<job> jobs;
    for (auto& c : comparisons) {
        for (std::size_t s = 0; s < scenario_count; ++s) {
            for (std::size_t policy = 0; policy < policy_rows().size(); ++policy) {
                if (!runs_in_scenario(static_cast<scenario>(s), policy_rows()[policy])) {
                    continue;
                }
                for (std::size_t seed = 0; seed < c.seeds(); ++seed) {
                    jobs.push_back({&c, static_cast<scenario>(s), policy, seed});
                }
            }
        }
    }
    return jobs;
}

void run(const job& j)
{
    const auto& policy = policy_rows()[j.policy];
    j.results->at(j.run_scenario, j.policy, j.seed) =
        run_policy(j.results->compared_workload(), j.run_scenario, policy, first_seed + j.seed);
}

} // namespace

bool runs_in_scenario(scenario s, const policy_row& policy)
{
    return s != scenario::steady || policy.role != policy_role::ablation;
}

comparison::comparison(workload w, std::size_t seeds) : m_workload(std::move(w)), m_seeds(seeds)
{
    std::ranges::for_each(m_figures, [&](auto& all) { all.resize(policy_rows().size() * seeds); });
}

run_figures& comparison::at(scenario s, std::size_t policy, std::size_t seed)
{
    return m_figures.at(static_cast<std::size_t>(s)).at(policy * m_seeds + seed);
}

const run_figures& comparison::at(scenario s, std::size_t policy, std::size_t seed) const
{
    return m_figures.at(static_cast<std::size_t>(s)).at(policy * m_seeds + seed);
}

std::vector<double> comparison::values(scenario s, std::size_t policy, double run_figures::*figure) const
{
    std::vector<double> all;
    for (std::size_t seed = 0; seed < m_seeds; ++seed) {
        all.push_back(at(s, policy, seed).*figure);
    }
    std::ranges::sort(all);
    return all;
}

double comparison::median(scenario s, std::size_t policy, double run_figures::*figure) const
{
    return values(s, policy, figure).at(m_seeds / 2);
}

double comparison::best_baseline(scenario s, double run_figures::*figure) const
{
    double best = std::numeric_limits<double>::infinity();
    for (std::size_t policy = 0; policy < policy_rows().size(); ++policy) {
        if (policy_rows()[policy].role == policy_role::baseline) {
            best = std::min(best, median(s, policy, figure));
        }
    }
    return best;
}

std::vector<comparison> compare(const std::vector<workload>& workloads, std::size_t seeds, std::size_t threads)
{
    std::vector<comparison> comparisons;
    std::ranges::for_each(workloads, [&](const workload& w) { comparisons.emplace_back(w, seeds); });
    const auto jobs = all_jobs(comparisons);
    std::atomic<std::size_t> next = 0;
    {
        std::vector<std::jthread> workers;
        for (std::size_t n = 0; n < std::max<std::size_t>(1, threads); ++n) {
            workers.emplace_back([&] {
                for (auto j = next++; j < jobs.size(); j = next++) {
                    run(jobs[j]);
                }
            });
        }
    }
    return comparisons;
}

} // namespace lagoonferry::bench
