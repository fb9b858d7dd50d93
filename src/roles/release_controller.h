#pragma once

#include "roles/messages.h"
#include "util/time.h"

#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <deque>
#include <string>

namespace lagoonferry {

struct board;
class engine_client;

/// Releases the memory that engines hold for ended programs. Retries until the engines have expired it themselves.
class release_controller_state {
public:
    void start(const board* shared, engine_client* engines);
    void add(const release_engine_memory& order, timestamp now);

    /// Tries the releases that are due. Blocks for the calls.
    void run(timestamp now);

private:
    struct pending_release {
        std::string program;
        std::string target;
        timestamp next_attempt{0};
        timestamp interval{0};
        timestamp expires_at{0};
    };

    bool try_release(const pending_release& item) const;

    const board* m_board = nullptr;
    engine_client* m_engines = nullptr;
    std::deque<pending_release> m_pending;
};

/// Returns the behaviour of the release controller. The actor blocks, so it needs a thread of its own.
caf::behavior release_controller(caf::stateful_actor<release_controller_state>* self, const board* shared,
                                 engine_client* engines);

} // namespace lagoonferry
