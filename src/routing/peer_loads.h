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

/// What the other gateways have told of their requests, by target: a choice looks at each target, and only few of the
/// gateways have requests there. No I/O; one owner, not thread-safe.
class peer_loads {
public:
    /// What one gateway told of one target.
    struct peer_load {
        std::string gateway;
        std::uint32_t in_flight = 0;
        std::uint32_t uncached_tokens = 0;
        std::uint32_t failures = 0;
        timestamp received{};
    };

    /// Notes the requests of another gateway, which replace all that it told before.
    void on_load_report(std::string_view gateway, std::span<const target_load> shares, timestamp now);

    /// Returns the number of gateways that told something at `since` or later.
    std::size_t count_reporting_since(timestamp since) const;

    /// Returns what the gateways told last of a target, also long ago. Valid until the next telling.
    std::span<const peer_load> at(std::string_view target) const;

private:
    struct reporting_gateway {
        std::vector<std::string> targets; ///< of which it told last
        timestamp received{};
    };

    void remove(std::string_view gateway, std::string_view target);

    std::map<std::string, std::vector<peer_load>, std::less<>> m_by_target;
    std::map<std::string, reporting_gateway, std::less<>> m_tellers;
};

} // namespace lagoonferry
