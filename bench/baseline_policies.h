#pragma once

#include "dispatch/queue_order.h"
#include "dispatch/target_selector.h"

namespace lagoonferry::bench {

/// Chooses a random open target, each with equal probability.
class random_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;
};

/// Chooses the open targets in round-robin order.
class round_robin_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;

private:
    std::size_t m_next = 0;
};

/// Chooses the open target with the lowest load in its last load report, which is out of date. Ties are broken at
/// random.
class least_reported_load_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;
};

/// Draws two random open targets and chooses the one with fewer calls in flight.
class two_random_choices_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;
};

/// Chooses the open target with the fewest calls in flight. Ties are broken at random.
class least_in_flight_selector : public target_selector {
public:
    std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets, timestamp now,
                                      random_source& random) override;
};

/// First come, first served across all classes.
class fifo_order : public queue_order {
public:
    queue_rank rank(const waiting_call& call, const account_usage& shares, timestamp now) const override;
};

/// Strict class priority, first come first served within a class: the shipped order without least attained service.
class priority_fifo_order : public queue_order {
public:
    queue_rank rank(const waiting_call& call, const account_usage& shares, timestamp now) const override;
};

} // namespace lagoonferry::bench
