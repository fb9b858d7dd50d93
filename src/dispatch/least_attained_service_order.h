#pragma once

#include "dispatch/dispatch_settings.h"
#include "dispatch/queue_order.h"

namespace lagoonferry {

/// Classes in strict order; inside a class the program with the least service received first. Waiting earns credit. In
/// the normal and bulk classes an account that used much recently is put back; urgent calls are too short for that.
class least_attained_service_order : public queue_order {
public:
    explicit least_attained_service_order(const dispatch_settings& settings);

    queue_rank rank(const waiting_call& call, const account_usage& shares, timestamp now) const override;

private:
    double m_ageing_per_us;
    double m_account_weight;
};

} // namespace lagoonferry
