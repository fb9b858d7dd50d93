#include "dispatch/slow_detector.h"

#include <algorithm>
#include <vector>

namespace lagoonferry {

namespace {

/// A slow target has recovered below this share of the ratio that marks it, so that the mark does not flap.
constexpr double recovery_share = 0.65;

double median_ratio(std::span<const target_track> targets)
{
    std::vector<double> ratios;
    ratios.reserve(targets.size());
    for (const auto& target : targets) {
        if (target.info.state == target_state::live && target.latency.usual_step_us() > 0) {
            ratios.push_back(target.latency.ratio());
        }
    }
    if (ratios.empty()) {
        return 1;
    }
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::ranges::nth_element(ratios, middle);
    return *middle;
}

} // namespace

void mark_slow_targets(std::span<target_track> targets, const dispatch_settings& settings)
{
    const double median = std::max(1.0, median_ratio(targets));
    for (auto& target : targets) {
        const double relative = target.latency.ratio() / median;
        const double bound = target.slow ? settings.slow_ratio * recovery_share : settings.slow_ratio;
        target.slow = relative > bound;
    }
}

} // namespace lagoonferry
