#pragma once

#include "backends/kv_store.h"
#include "roles/messages.h"

#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace lagoonferry {

class call_counts;

struct platform_worker_state {
    std::unique_ptr<kv_store> store;
};

/// Executes calls to the key-value service one at a time. It blocks, so it needs a thread of its own. `counts` must
/// outlive the actor.
caf::behavior platform_worker(caf::stateful_actor<platform_worker_state>* self, const std::string& address,
                              std::chrono::milliseconds timeout, call_counts* counts);

/// Executes one call on a store. Thread-safe if no other thread uses the store.
kv_reply execute(const kv_call& call, kv_store& store);

} // namespace lagoonferry
