#pragma once

#include "document/document_table.h"
#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

namespace lagoonferry {

struct board;

/// Maintains the documents in force: fetches versions that heartbeats announce and publishes them on the blackboard.
class document_controller_state {
public:
    void start(caf::event_based_actor* self, caf::actor fetcher, board* shared);
    void on_tick();
    void on_announcement(const document_announcement& message);
    void on_record(const document_record& record);

private:
    void request_list();
    void fetch(const document_fetch& request);
    void publish();

    caf::event_based_actor* m_self = nullptr;
    caf::actor m_fetcher;
    board* m_board = nullptr;
    document_table m_table;
    bool m_list_requested = false;
};

/// Returns the behaviour of the document controller. `shared` must outlive the actor.
caf::behavior document_controller(caf::stateful_actor<document_controller_state>* self, const caf::actor& fetcher,
                                  board* shared);

} // namespace lagoonferry
