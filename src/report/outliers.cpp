#include "report/outliers.h"

#include "report/metric_names.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonferry {

namespace {

constexpr double min_bad_events = 5;
constexpr double min_ratio_factor = 3;

/// Minimum distance from the expected number of bad events in standard deviations. Chance alone exceeds 4 in one of
/// 30,000 cases.
constexpr double min_deviations = 4;

bool is_candidate(const burn_contributor& contributor)
{
    return contributor.total > 0 && contributor.name != metric_names::no_target &&
           contributor.name != metric_names::other_target;
}

double median_bad_ratio(std::span<const burn_contributor> contributors)
{
    std::vector<double> ratios;
    for (const burn_contributor& contributor : contributors) {
        if (is_candidate(contributor)) {
            ratios.push_back(contributor.bad / contributor.total);
        }
    }
    if (ratios.empty()) {
        return 0;
    }
    std::ranges::sort(ratios);
    return ratios.at((ratios.size() - 1) / 2);
}

} // namespace

void mark_outliers(std::span<burn_contributor> contributors, double allowed_bad_ratio)
{
    const double expected_ratio =
        std::clamp(std::max(median_bad_ratio(contributors), allowed_bad_ratio), 0.0001, 0.9999);
    for (burn_contributor& contributor : contributors) {
        const double expected = contributor.total * expected_ratio;
        const double deviation = std::sqrt(expected * (1 - expected_ratio));
        contributor.outlier = is_candidate(contributor) && contributor.bad >= min_bad_events &&
                              contributor.bad >= min_ratio_factor * expected &&
                              contributor.bad - expected >= min_deviations * deviation;
    }
}

} // namespace lagoonferry
