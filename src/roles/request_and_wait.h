#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/scoped_actor.hpp>

#include <chrono>
#include <optional>

namespace lagoonferry {

/// Sends a message to an actor and blocks until the reply arrives. Returns nothing after an error or the timeout. For
/// threads that run no actor, such as those of the HTTP server. Thread-safe.
template <class Reply, class Message>
std::optional<Reply> request_and_wait(caf::actor_system& system, const caf::actor& receiver, const Message& message,
                                      std::chrono::milliseconds timeout = std::chrono::seconds(5))
{
    caf::scoped_actor self(system);
    std::optional<Reply> reply;
    self->request(receiver, timeout, message)
        .receive([&](const Reply& value) { reply = value; }, [](const caf::error&) {});
    return reply;
}

} // namespace lagoonferry
