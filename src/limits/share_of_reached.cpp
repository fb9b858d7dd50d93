#include "limits/share_of_reached.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// A majority that misses no more than one in this number grants the whole limit. Ended processes are known for a
/// while.
constexpr std::size_t ignored_part = 10;

} // namespace

double share_of_reached(std::size_t reached, std::size_t known)
{
    if (reached >= known) {
        return 1;
    }
    const double part = static_cast<double>(reached) / static_cast<double>(known);
    const std::size_t ignored = std::max<std::size_t>(1, known / ignored_part);
    if (2 * reached <= known) {
        return reached <= ignored ? part / 2 : part; // the others may grant the whole limit
    }
    return known - reached <= ignored ? 1 : part;
}

} // namespace lagoonferry
