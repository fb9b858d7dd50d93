#pragma once

#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <map>
#include <string>

namespace lagoonferry {

class rpc_client;

/// One actor for each peer, so that a peer that does not reply does not delay calls to others.
struct peer_controller_state {
    std::map<std::string, caf::actor> workers; ///< by RPC address
};

/// Sends `send_replicate`, `send_fetch` and `send_takeover` to peers by JSON-RPC and returns their replies. The reply
/// is an error if the peer cannot be reached.
caf::behavior peer_controller(caf::stateful_actor<peer_controller_state>* self, const std::string& rpc_token);

} // namespace lagoonferry
