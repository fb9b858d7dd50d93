#include "entry/partition_router.h"

#include "blackboard/board.h"
#include "entry/call_session.h"
#include "roles/messages.h"
#include "util/digest.h"

#include <caf/send.hpp>

#include <charconv>

namespace lagoonferry {

namespace {

constexpr std::size_t program_random_bytes = 12;

} // namespace

partition_router::partition_router(const board* shared, std::vector<caf::actor> partitions)
    : m_board(shared), m_partitions(std::move(partitions))
{
}

std::optional<std::uint32_t> partition_router::partition_of(std::string_view program) const
{
    std::uint32_t partition = 0;
    const auto [end, ec] = std::from_chars(program.data(), program.data() + program.size(), partition);
    const auto length = static_cast<std::size_t>(end - program.data());
    if (ec != std::errc{} || partition >= m_partitions.size() || length >= program.size() || program[length] != '-') {
        return std::nullopt;
    }
    return partition;
}

std::optional<std::string> partition_router::new_program_id() const
{
    const auto owners = m_board->owners.read();
    if (owners->own.empty()) {
        return std::nullopt;
    }
    const std::string random = random_hex(program_random_bytes);
    std::uint64_t choice = 0;
    std::from_chars(random.data(), random.data() + sizeof(choice), choice, 16);
    return std::to_string(owners->own[choice % owners->own.size()]) + '-' + random;
}

std::string partition_router::new_program_id_in(std::uint32_t partition)
{
    return std::to_string(partition) + '-' + random_hex(program_random_bytes);
}

void partition_router::send(std::uint32_t partition, event input, std::shared_ptr<call_session> session) const
{
    caf::anon_send(m_partitions.at(partition), partition_event{std::move(input), std::move(session)});
}

std::optional<std::string> partition_router::owner_address(std::uint32_t partition) const
{
    const auto owners = m_board->owners.read();
    const auto it = owners->addresses.find(partition);
    return it == owners->addresses.end() ? std::nullopt : std::optional(it->second);
}

std::optional<std::string> partition_router::any_owner_address() const
{
    const auto owners = m_board->owners.read();
    return owners->addresses.empty() ? std::nullopt : std::optional(owners->addresses.begin()->second);
}

} // namespace lagoonferry
