#pragma once

#include "program/event.h"

#include <caf/actor.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

struct board;
class call_session;

/// Sends events to the controllers of partitions. Immutable after construction; thread-safe.
class partition_router {
public:
    /// `partitions` holds one controller for each partition, by number. `shared` must outlive this object.
    partition_router(const board* shared, std::vector<caf::actor> partitions);

    /// Returns the partition that a program's identifier names, or nothing if it is malformed.
    std::optional<std::uint32_t> partition_of(std::string_view program) const;

    /// Returns an identifier for a new program in a partition that this instance owns, or nothing if it owns none.
    std::optional<std::string> new_program_id() const;

    /// Returns an identifier for a new program in a given partition.
    static std::string new_program_id_in(std::uint32_t partition);

    /// Sends an event. Precondition: the partition exists.
    void send(std::uint32_t partition, event input, std::shared_ptr<call_session> session) const;

    /// Returns the HTTP address of a partition's owner, if another instance is known to own it.
    std::optional<std::string> owner_address(std::uint32_t partition) const;

    /// Returns the HTTP address of any entry instance that owns partitions.
    std::optional<std::string> any_owner_address() const;

private:
    const board* m_board;
    std::vector<caf::actor> m_partitions;
};

} // namespace lagoonferry
