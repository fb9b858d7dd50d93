#include "recovery_bounds.h"

#include <algorithm>
#include <array>

namespace lagoonferry::bench {

namespace {

struct recovery_goal {
    const char* name;
    double recovery_figures::*figure;
    double limit;
    const char* text;
};

constexpr std::array recovery_goals{
    recovery_goal{"slots within the limit", &recovery_figures::largest_share, 1, "of the limit of a target"},
    recovery_goal{"urgent wait", &recovery_figures::urgent_wait_s, 5, "s"},
    recovery_goal{"served rate back", &recovery_figures::back_s, 10, "s"},
    recovery_goal{"refusals without a time", &recovery_figures::without_retry, 0, "refusals"},
    recovery_goal{"callers return at once", &recovery_figures::return_peak, 0.3,
                  "of the callers of a second in 100 ms, three times an even spread"},
};

} // namespace

std::vector<bound_result> check_recovery_bounds(const std::vector<recovery_result>& results,
                                                const std::set<std::string>& known_red)
{
    std::vector<bound_result> bounds;
    std::string last;
    for (const auto& r : results) {
        const auto run_name = "recovery " + r.size.name + " " + std::string(to_string(r.fault)) + " ";
        if (run_name != last) {
            std::ranges::transform(recovery_goals, std::back_inserter(bounds), [&](const recovery_goal& goal) {
                return bound_result{run_name + goal.name, std::string(goal.text) + ", worst seed", 0, goal.limit};
            });
            last = run_name;
        }
        const auto first = bounds.end() - static_cast<std::ptrdiff_t>(recovery_goals.size());
        for (std::size_t n = 0; n < recovery_goals.size(); ++n) {
            auto& bound = *(first + static_cast<std::ptrdiff_t>(n));
            bound.value = std::max(bound.value, r.figures.*recovery_goals.at(n).figure);
            bound.met = bound.value <= bound.limit;
            bound.known_red = known_red.contains(bound.name);
        }
    }
    return bounds;
}

} // namespace lagoonferry::bench
