#include "roles/replica_controller.h"

#include <caf/event_based_actor.hpp>

namespace lagoonferry {

caf::behavior replica_controller(caf::stateful_actor<replica_controller_state>* self, const std::string& id,
                                 std::uint64_t incarnation, const replica_limits& limits)
{
    self->state.store.emplace(id, incarnation, limits);
    return {
        [self](const replica_request& request) { return self->state.store->replicate(request.message); },
        [self](const replica_fetch& request) { return self->state.store->fetch(request.message); },
    };
}

} // namespace lagoonferry
