#pragma once

#include "program/replica_store.h"
#include "roles/messages.h"

#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

struct replica_controller_state {
    std::optional<replica_store> store;
};

/// Runs the replica store, which holds replicas of the partitions for which this instance is a backup.
caf::behavior replica_controller(caf::stateful_actor<replica_controller_state>* self, const std::string& id,
                                 std::uint64_t incarnation, const replica_limits& limits);

} // namespace lagoonferry
