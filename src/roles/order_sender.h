#pragma once

#include "roles/messages.h"

#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

namespace lagoonferry {

class engine_client;

struct order_sender_state {};

/// Sends orders to targets and replies to each `send_order` with `order_result`. It blocks, so it needs a thread of its
/// own. `engines` must outlive the actor.
caf::behavior order_sender(caf::stateful_actor<order_sender_state>* self, engine_client* engines);

} // namespace lagoonferry
