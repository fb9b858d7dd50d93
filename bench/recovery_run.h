#pragma once

#include "recovery_figures.h"
#include "recovery_scenario.h"

#include <cstdint>

namespace lagoonferry::bench {

/// Simulates one fault on a virtual clock, in a fleet whose demand is at its peak of 1.2 times the capacity. The same
/// arguments give the same figures. Thread-safe.
recovery_figures run_recovery(const recovery_size& size, recovery_fault fault, std::uint64_t seed);

} // namespace lagoonferry::bench
