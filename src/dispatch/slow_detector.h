#pragma once

#include "dispatch/dispatch_settings.h"
#include "dispatch/target_track.h"

#include <span>

namespace lagoonferry {

/// Marks the targets whose recent latency, against their own usual latency, is far above that of their peers, and
/// clears the mark of those that have recovered. A target is compared with itself first because targets differ in
/// speed, and with its peers because a change of load slows all of them. Thread-safe for distinct targets.
void mark_slow_targets(std::span<target_track> targets, const dispatch_settings& settings);

} // namespace lagoonferry
