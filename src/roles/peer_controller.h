#pragma once

#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <map>
#include <string>

namespace lagoonferry {

class rpc_client;

/// One actor for each peer, so that a peer that does not answer delays no other.
struct peer_controller_state {
    std::map<std::string, caf::actor> workers; ///< by RPC address
};

/// Sends replication and fetch calls to peers by JSON-RPC and answers with their replies; an unreachable peer is
/// answered with an error.
caf::behavior peer_controller(caf::stateful_actor<peer_controller_state>* self, const std::string& rpc_token);

} // namespace lagoonferry
