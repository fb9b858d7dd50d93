#include "net/buffer_quota.h"

namespace lagoonferry {

std::size_t buffer_share::limit() const
{
    const std::size_t others = m_quota.m_held - m_bytes;
    return others < m_quota.m_limit ? (m_quota.m_limit - others) / 2 : 0;
}

bool buffer_share::resize(std::size_t bytes)
{
    if (bytes > m_bytes && bytes > limit()) {
        return false;
    }
    m_quota.m_held = m_quota.m_held - m_bytes + bytes;
    m_bytes = bytes;
    return true;
}

} // namespace lagoonferry
