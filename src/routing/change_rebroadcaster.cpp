#include "routing/change_rebroadcaster.h"

namespace lagoonferry {

change_broadcast change_rebroadcaster::next(std::uint64_t from, std::uint64_t to, std::span<const target_change> news)
{
    change_broadcast told{from, {}};
    // After a read by another gateway, or of the whole list, the former news do not reach up to this read.
    if (m_to == from && m_to != 0) {
        told = {m_from, m_news};
    }
    told.changes.insert(told.changes.end(), news.begin(), news.end());
    m_from = from;
    m_to = to;
    m_news.assign(news.begin(), news.end());
    return told;
}

} // namespace lagoonferry
