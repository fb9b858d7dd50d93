#pragma once

#include "routing/target_directory.h"

#include <cstdint>
#include <span>
#include <vector>

namespace lagoonferry {

/// Changes of the list of targets from one revision on, as told to other gateways.
struct change_broadcast {
    std::uint64_t from = 0;
    std::vector<target_change> changes;
};

/// Joins the news of each read with those of the read before, so that a gateway that lost one datagram has the changes
/// with the next one and need not ask the store. Decision code without I/O; not thread-safe.
class change_rebroadcaster {
public:
    /// Returns what to tell after a read of the changes between two revisions.
    change_broadcast next(std::uint64_t from, std::uint64_t to, std::span<const target_change> news);

private:
    std::uint64_t m_from = 0; ///< of the read before
    std::uint64_t m_to = 0;
    std::vector<target_change> m_news;
};

} // namespace lagoonferry
