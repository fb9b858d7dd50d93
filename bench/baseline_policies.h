#pragma once

#include "dispatch/queue_order.h"
#include "dispatch/target_selector.h"

namespace lagoonferry::bench {

/// Any open target, with equal probability.
class random_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;
};

/// The open targets in turn.
class round_robin_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;

private:
    std::size_t m_next = 0;
};

/// The open target with the lowest load in its last (late) report; equal ones at random.
class least_reported_load_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;
};

/// The one with fewer calls in flight of two random open targets.
class two_random_choices_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;
};

/// The open target with the fewest calls in flight; equal ones at random.
class least_in_flight_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;
};

/// First come, first served over all classes.
class fifo_order : public queue_order {
public:
    queue_rank rank(const waiting_call& call, const account_usage& shares, timestamp now) const override;
};

/// Classes in strict order, first come first served inside a class: the shipped order without its second criterion.
class priority_fifo_order : public queue_order {
public:
    queue_rank rank(const waiting_call& call, const account_usage& shares, timestamp now) const override;
};

} // namespace lagoonferry::bench
