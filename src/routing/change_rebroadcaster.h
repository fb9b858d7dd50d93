#pragma once

#include "routing/target_directory.h"

#include <cstdint>
#include <span>
#include <vector>

namespace lagoonferry {

/// Changes of the target list since revision `from`, as broadcast to the other gateways.
struct change_broadcast {
    std::uint64_t from = 0;
    std::vector<target_change> changes;
};

/// Adds the changes of the previous read to each broadcast, so that a gateway that lost one datagram gets them with the
/// next one and need not query the store. No I/O. Not thread-safe.
class change_rebroadcaster {
public:
    /// Returns what to broadcast after a read of the changes between the revisions `from` and `to`.
    change_broadcast next(std::uint64_t from, std::uint64_t to, std::span<const target_change> changes);

private:
    std::uint64_t m_previous_from = 0; ///< start revision of the previous read
    std::uint64_t m_previous_to = 0;
    std::vector<target_change> m_previous_changes;
};

} // namespace lagoonferry
