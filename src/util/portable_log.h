#pragma once

namespace lagoonferry {

/// Returns the natural logarithm of `value` to within 4 units in the last place. Unlike std::log, whose result depends
/// on the processor, it returns the same bits on each machine. Precondition: `value` is positive, finite and normal.
/// Thread-safe.
double portable_log(double value);

} // namespace lagoonferry
