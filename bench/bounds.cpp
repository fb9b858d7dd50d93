#include "bounds.h"

#include <fstream>
#include <limits>
#include <sstream>

namespace lagoonferry::bench {

namespace {

constexpr std::size_t shipped = 0;

/// Upper limit for the ratio of the shipped policy's median to the lowest median of the baselines.
struct ratio_goal {
    const char* name;
    double run_figures::*figure;
    double limit;
};

constexpr std::array ratio_goals{
    ratio_goal{"program latency p95", &run_figures::program_p95_s, 0.7},
    ratio_goal{"short behind long p99", &run_figures::short_wait_p99_s, 0.2},
    ratio_goal{"recomputed prompt tokens", &run_figures::recomputed_share, 0.5},
    ratio_goal{"memory held for nothing", &run_figures::idle_held_tokens, 0.5},
};

/// Upper limit for a figure in every seed of the `steady` scenario, in which demand stays below saturation.
struct absolute_goal {
    const char* name;
    double run_figures::*figure;
    double limit;
    const char* unit;
};

constexpr std::array absolute_goals{
    absolute_goal{"first token p95", &run_figures::first_token_p95_s, 1.5, "s"},
    absolute_goal{"time between tokens p95", &run_figures::token_gap_p95_ms, 72, "ms"},
};

double ratio_of(double value, double base)
{
    if (base > 0) {
        return value / base;
    }
    return value > 0 ? std::numeric_limits<double>::infinity() : 0;
}

bound_result check(const comparison& c, const ratio_goal& goal)
{
    const double value = c.median(scenario::day, shipped, goal.figure);
    const double best = c.best_baseline(scenario::day, goal.figure);
    std::ostringstream text;
    text << value << " against " << best << " of the best baseline, day";
    const double ratio = ratio_of(value, best);
    return {c.compared_workload().name + " " + goal.name, text.str(), ratio, goal.limit, ratio <= goal.limit};
}

bound_result check(const comparison& c, const absolute_goal& goal)
{
    const double worst = c.values(scenario::steady, shipped, goal.figure).back();
    const auto text = std::string(goal.unit) + " in the worst seed, steady";
    return {c.compared_workload().name + " " + goal.name, text, worst, goal.limit, worst <= goal.limit};
}

bound_result check_safety(const comparison& c)
{
    const double lowest = c.values(scenario::day, shipped, &run_figures::served_safety).front();
    return {c.compared_workload().name + " safety served at the crest", "share in the worst seed, at least", lowest, 1,
            lowest >= 1};
}

bound_result check_slowed(const comparison& c)
{
    const double with = c.median(scenario::slowed, shipped, &run_figures::program_p99_s);
    const double without = c.median(scenario::steady, shipped, &run_figures::program_p99_s);
    std::ostringstream text;
    text << "p99 " << with << " s against " << without << " s without slowed targets";
    const double ratio = ratio_of(with, without);
    return {c.compared_workload().name + " slowed targets", text.str(), ratio, 1.5, ratio <= 1.5};
}

} // namespace

std::vector<bound_result> check_bounds(const comparison& c, const std::set<std::string>& known_red)
{
    std::vector<bound_result> results;
    results.reserve(ratio_goals.size() + absolute_goals.size() + 2);
    for (const auto& goal : ratio_goals) {
        results.push_back(check(c, goal));
    }
    results.push_back(check_safety(c));
    results.push_back(check_slowed(c));
    for (const auto& goal : absolute_goals) {
        results.push_back(check(c, goal));
    }
    for (auto& result : results) {
        result.known_red = known_red.contains(result.name);
    }
    return results;
}

std::set<std::string> read_known_red(const std::string& path)
{
    constexpr std::string_view prefix = "bench: ";
    std::set<std::string> names;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(prefix)) {
            names.insert(line.substr(prefix.size()));
        }
    }
    return names;
}

} // namespace lagoonferry::bench
