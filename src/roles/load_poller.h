#pragma once

#include "dispatch/cache_event_tracker.h"
#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <string>

namespace lagoonferry {

struct board;
class engine_client;

struct load_poller_state {
    cache_event_tracker caches;
};

/// Reads the load reports and cache events of the targets whose groups this process serves, once a second, and sends
/// them to the dispatch controller. It blocks, so it needs a thread of its own.
caf::behavior load_poller(caf::stateful_actor<load_poller_state>* self, const std::string& id,
                          const caf::actor& dispatch, const board* shared, engine_client* engines);

} // namespace lagoonferry
