#pragma once

#include "dispatch/queue_order.h"
#include "dispatch/target_selector.h"
#include "ground_truth.h"

namespace lagoonferry::bench {

/// Strict class priority; within a class, the program with the least remaining work first.
class oracle_order : public queue_order {
public:
    explicit oracle_order(const ground_truth& truth) : m_truth(truth) {}
    queue_rank rank(const waiting_call& call, const account_usage& shares, timestamp now) const override;

private:
    const ground_truth& m_truth;
};

/// Affinity selection with the exact engine speeds, cached tokens and output length instead of estimates.
class oracle_selector : public target_selector {
public:
    explicit oracle_selector(const ground_truth& truth) : m_truth(truth) {}
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;

private:
    const ground_truth& m_truth;
};

} // namespace lagoonferry::bench
