#pragma once

#include "routing/target_load.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The last load reports of the other gateways, indexed by target: a placement decision looks at every target, and only
/// a few gateways have requests there. No I/O. Not thread-safe.
class peer_loads {
public:
    /// Load that one gateway has reported for one target.
    struct peer_load {
        std::string gateway;
        std::uint32_t in_flight = 0;
        std::uint32_t uncached_tokens = 0;
        std::uint32_t failures = 0;
        timestamp received{};
    };

    /// Records a load report of another gateway. It replaces everything that this gateway has reported before.
    void on_load_report(std::string_view gateway, std::span<const target_load> loads, timestamp now);

    /// Returns the number of gateways whose last report arrived at `since` or later.
    std::size_t count_reporting_since(timestamp since) const;

    /// Returns the last reported loads of a target, whatever their age. Valid until the next report.
    std::span<const peer_load> at(std::string_view target) const;

private:
    struct reporting_gateway {
        std::vector<std::string> targets; ///< in its last report
        timestamp received{};
    };

    void remove(std::string_view gateway, std::string_view target);

    std::map<std::string, std::vector<peer_load>, std::less<>> m_by_target;
    std::map<std::string, reporting_gateway, std::less<>> m_gateways;
};

} // namespace lagoonferry
