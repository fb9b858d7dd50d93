#pragma once

#include "dispatch/account_usage.h"
#include "dispatch/waiting_call.h"

#include <compare>

namespace lagoonferry {

/// Rank of a call in the queue; the lowest rank is served first.
struct queue_rank {
    int tier = 0; ///< compared before `value`
    double value = 0;
    auto operator<=>(const queue_rank&) const = default;
};

/// Strategy interface: order of the queue. Implementations keep no pointers to their arguments. Not thread-safe.
class queue_order {
public:
    queue_order() = default;
    queue_order(const queue_order&) = delete;
    queue_order& operator=(const queue_order&) = delete;
    virtual ~queue_order() = default;

    virtual queue_rank rank(const waiting_call& call, const account_usage& usage, timestamp now) const = 0;
};

} // namespace lagoonferry
