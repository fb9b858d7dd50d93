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

/// Carries out calls to the key-value service one after the other; it blocks, so it needs a thread of its own.
/// `counts` outlives the actor.
caf::behavior platform_worker(caf::stateful_actor<platform_worker_state>* self, const std::string& address,
                              std::chrono::milliseconds timeout, call_counts* counts);

/// Carries out one call against a store. Thread-safe if the store is not shared.
kv_reply execute(const kv_call& call, kv_store& store);

} // namespace lagoonferry
