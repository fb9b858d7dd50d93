#pragma once

#include "recovery_figures.h"
#include "recovery_scenario.h"

#include <cstdint>

namespace lagoonferry::bench {

/// Runs one fault on a fleet at the demand peak (1.2 times its capacity) on a virtual clock. The same arguments give
/// the same figures. Thread-safe.
recovery_figures run_recovery(const recovery_size& size, recovery_fault fault, std::uint64_t seed);

} // namespace lagoonferry::bench
