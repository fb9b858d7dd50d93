#pragma once

#include "dispatch/dispatch_settings.h"
#include "dispatch/queue_order.h"

namespace lagoonferry {

/// Serves the classes in strict priority order, and inside a class the program with the least attained service first.
/// Waiting calls earn credit (ageing). In the normal and bulk classes the recent usage of the account counts as well;
/// safety and interactive calls are too short for that.
class least_attained_service_order : public queue_order {
public:
    explicit least_attained_service_order(const dispatch_settings& settings);

    queue_rank rank(const waiting_call& call, const account_usage& usage, timestamp now) const override;

private:
    double m_ageing_per_us;
    double m_account_weight;
};

} // namespace lagoonferry
