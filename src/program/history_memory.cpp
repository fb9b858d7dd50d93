#include "program/history_memory.h"

#include <algorithm>

namespace lagoonferry {

void history_memory::change(std::size_t before, std::size_t after)
{
    m_used += after - before;
    if (before == 0 && after != 0) {
        ++m_holders;
    }
    if (before != 0 && after == 0) {
        --m_holders;
    }
}

std::size_t history_memory::share() const
{
    // Dropping below the bound by a quarter keeps a partition from dropping one text for each new one.
    return (m_limit - m_limit / 4) / std::max<std::size_t>(1, m_holders);
}

} // namespace lagoonferry
