#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <vector>

namespace lagoonferry::bench {

/// Returns the percentile at `share` (0 to 1) by the nearest-rank method, or 0 if there are no samples.
inline double percentile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
    const auto at = samples.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, samples.size()) - 1);
    std::ranges::nth_element(samples, at);
    return *at;
}

/// Weighted histogram of durations with bins of 0.25 ms. Durations above 2 s go into the last bin.
class duration_histogram {
public:
    void add(double us, double count)
    {
        const auto bin = static_cast<std::size_t>(std::clamp(us / bin_us, 0.0, static_cast<double>(bins - 1)));
        m_counts.at(bin) += count;
        m_total += count;
    }

    /// Returns the upper edge in milliseconds of the bin that contains the percentile, or 0 if there are no samples.
    double percentile_ms(double share) const
    {
        double below = 0;
        for (std::size_t n = 0; n < bins; ++n) {
            below += m_counts.at(n);
            if (m_total > 0 && below >= share * m_total) {
                return static_cast<double>(n + 1) * bin_us / 1000;
            }
        }
        return 0;
    }

private:
    static constexpr double bin_us = 250;
    static constexpr std::size_t bins = 8000;
    std::vector<double> m_counts = std::vector<double>(bins);
    double m_total = 0;
};

} // namespace lagoonferry::bench
