#include "report/outliers.h"

#include "report/metric_names.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonferry {

namespace {

constexpr double min_bad_events = 5;
constexpr double min_ratio_factor = 3;

/// Standard deviations above the expected number of bad events; 4 is exceeded by chance once in 30,000 cases.
constexpr double min_deviations = 4;

bool is_candidate(const burn_contributor& share)
{
    return share.total > 0 && share.name != metric_names::no_target && share.name != metric_names::other_target;
}

double median_bad_ratio(std::span<const burn_contributor> shares)
{
    std::vector<double> ratios;
    for (const burn_contributor& share : shares) {
        if (is_candidate(share)) {
            ratios.push_back(share.bad / share.total);
        }
    }
    if (ratios.empty()) {
        return 0;
    }
    std::ranges::sort(ratios);
    return ratios.at((ratios.size() - 1) / 2);
}

} // namespace

void mark_outliers(std::span<burn_contributor> shares, double allowed_bad_ratio)
{
    const double expected_ratio = std::clamp(std::max(median_bad_ratio(shares), allowed_bad_ratio), 0.0001, 0.9999);
    for (burn_contributor& share : shares) {
        const double expected = share.total * expected_ratio;
        const double deviation = std::sqrt(expected * (1 - expected_ratio));
        share.outlier = is_candidate(share) && share.bad >= min_bad_events &&
                        share.bad >= min_ratio_factor * expected && share.bad - expected >= min_deviations * deviation;
    }
}

} // namespace lagoonferry
