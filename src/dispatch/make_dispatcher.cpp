#include "dispatch/make_dispatcher.h"

#include "dispatch/affinity_selector.h"
#include "dispatch/least_attained_service_order.h"

namespace lagoonferry {

slot_dispatcher make_dispatcher(const dispatch_settings& settings, std::uint64_t epoch, std::uint64_t seed,
                                timestamp now)
{
    return {settings,
            std::make_unique<affinity_selector>(),
            std::make_unique<least_attained_service_order>(settings),
            epoch,
            seed,
            now};
}

} // namespace lagoonferry
