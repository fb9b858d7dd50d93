#pragma once

#include "dispatch/slot_messages.h"
#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// A queued acquire that waits for a slot.
struct waiting_call {
    slot_acquire acquire;
    timestamp arrived{0};
    timestamp deadline{0};      ///< 0 for none
    std::uint64_t sequence = 0; ///< order of arrival
};

} // namespace lagoonferry
