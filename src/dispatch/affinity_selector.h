#pragma once

#include "dispatch/target_selector.h"

namespace lagoonferry {

/// Chooses the target where the call costs the least time, its own and that which it adds to the calls that run there:
/// prompt tokens that are not cached, then steps, which grow with the number of calls. A call whose prefix is cached on
/// a full target waits for a slot there while that is cheaper than computing the prompt elsewhere; urgent calls do not.
class affinity_selector : public target_selector {
public:
    /// `use_prefix` false leaves the cached tokens out of the decision.
    explicit affinity_selector(bool use_prefix = true) : m_use_prefix(use_prefix) {}

    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;

private:
    double cost_us(const waiting_call& call, const target_view& target) const;

    bool m_use_prefix;
};

} // namespace lagoonferry
