#include "program/partition_owner.h"

#include "program/owner_core.h"

namespace lagoonferry {

partition_owner::partition_owner(owner_settings settings) : m_core(std::make_unique<core>(std::move(settings))) {}

partition_owner::partition_owner(partition_owner&&) noexcept = default;
partition_owner& partition_owner::operator=(partition_owner&&) noexcept = default;
partition_owner::~partition_owner() = default;

std::vector<action> partition_owner::handle(const event& input, timestamp now)
{
    return m_core->handle(input, now);
}

std::optional<timestamp> partition_owner::next_wake() const
{
    return m_core->next_wake();
}

owner_phase partition_owner::phase() const
{
    return m_core->phase();
}

std::uint64_t partition_owner::epoch() const
{
    return m_core->epoch();
}

std::vector<backup_ref> partition_owner::backups() const
{
    return m_core->backups();
}

owner_counters partition_owner::counters() const
{
    return m_core->counters();
}

} // namespace lagoonferry
