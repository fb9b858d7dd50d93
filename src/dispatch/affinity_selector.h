#pragma once

#include "dispatch/target_selector.h"

namespace lagoonferry {

/// Chooses the target with the lowest estimated cost of a call: the run time of the call plus the delay that it causes
/// for the calls that run there. The run time consists of the prefill of the uncached prompt tokens and of the decode
/// steps, whose duration grows with the batch. A call whose prefix is cached on a full target waits for a slot there
/// while that is cheaper than a prefill elsewhere. Safety and interactive calls never wait for a cached prefix.
class affinity_selector : public target_selector {
public:
    /// With `use_prefix` false the cached tokens are ignored.
    explicit affinity_selector(bool use_prefix = true) : m_use_prefix(use_prefix) {}

    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;

private:
    double cost_us(const waiting_call& call, const target_view& target) const;

    bool m_use_prefix;
};

} // namespace lagoonferry
