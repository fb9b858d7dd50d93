#pragma once

#include "backends/instance_list.h"
#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace lagoonferry {

struct board;
class call_counts;

struct instance_poller_state {
    std::unique_ptr<instance_list> list;
    bool has_polled = false;
};

struct instance_poller_options {
    std::string address;
    std::string self;
    std::chrono::milliseconds interval{2000};
};

/// Polls the instance list and sends its rows to the membership controller. Every process polls until the first reply,
/// and later only while it is a delegate for `delegated_task::poll_instances`. It blocks, so it needs a thread of its
/// own.
caf::behavior instance_poller(caf::stateful_actor<instance_poller_state>* self, const instance_poller_options& options,
                              const caf::actor& membership, const board* shared, call_counts* counts);

} // namespace lagoonferry
