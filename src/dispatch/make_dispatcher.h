#pragma once

#include "dispatch/dispatch_settings.h"
#include "dispatch/slot_dispatcher.h"

#include <cstdint>

namespace lagoonferry {

/// Returns a dispatcher with the default policy: `affinity_selector` and `least_attained_service_order`.
slot_dispatcher make_dispatcher(const dispatch_settings& settings, std::uint64_t epoch, std::uint64_t seed,
                                timestamp now);

} // namespace lagoonferry
