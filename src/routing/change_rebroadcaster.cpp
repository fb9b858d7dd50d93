#include "routing/change_rebroadcaster.h"

namespace lagoonferry {

change_broadcast change_rebroadcaster::next(std::uint64_t from, std::uint64_t to,
                                            std::span<const target_change> changes)
{
    change_broadcast broadcast{from, {}};
    // If another gateway or a read of the whole list came in between, the previous changes do not extend up to `from`.
    if (m_previous_to == from && m_previous_to != 0) {
        broadcast = {m_previous_from, m_previous_changes};
    }
    broadcast.changes.insert(broadcast.changes.end(), changes.begin(), changes.end());
    m_previous_from = from;
    m_previous_to = to;
    m_previous_changes.assign(changes.begin(), changes.end());
    return broadcast;
}

} // namespace lagoonferry
