#include "program/history_memory.h"

#include <algorithm>

namespace lagoonferry {

void history_memory::update(std::size_t before, std::size_t after)
{
    m_used += after - before;
    if (before == 0 && after != 0) {
        ++m_partitions;
    }
    if (before != 0 && after == 0) {
        --m_partitions;
    }
}

std::size_t history_memory::partition_limit() const
{
    // A quarter below the limit. Without this margin a partition would have to evict one text for each new one.
    return (m_limit - m_limit / 4) / std::max<std::size_t>(1, m_partitions);
}

} // namespace lagoonferry
