#include "dispatch/least_attained_service_order.h"

namespace lagoonferry {

least_attained_service_order::least_attained_service_order(const dispatch_settings& settings)
    : m_ageing_per_us(settings.ageing_tokens_per_s / 1e6), m_account_weight(settings.account_weight)
{
}

queue_rank least_attained_service_order::rank(const waiting_call& call, const account_usage& usage, timestamp now) const
{
    const double waited = static_cast<double>((now - call.arrived).count()) * m_ageing_per_us;
    const bool fair = m_account_weight > 0 && call.acquire.priority > service_class::interactive;
    const double account = fair ? m_account_weight * usage.weighted_usage(call.acquire.account, now) : 0;
    const auto received = static_cast<double>(call.acquire.attained_service);
    return {static_cast<int>(index_of(call.acquire.priority)), received + account - waited};
}

} // namespace lagoonferry
