#pragma once

#include <cstddef>

namespace lagoonferry {

/// Returns the share of a limit that `reached` of `known` gateways may grant together while they do not reach the
/// others. Parts of a fleet that do not reach each other together get about 1. Thread-safe.
double share_of_reached(std::size_t reached, std::size_t known);

} // namespace lagoonferry
