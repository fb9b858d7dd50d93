#pragma once

#include "document/document_table.h"
#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

namespace lagoonferry {

struct board;

/// Keeps the documents in force: asks for what heartbeats announce and publishes the result on the blackboard.
class document_controller_state {
public:
    void start(caf::event_based_actor* self, caf::actor fetcher, board* shared);
    void on_tick();
    void on_announcement(const document_announcement& message);
    void on_record(const document_record& record);

private:
    void ask_for_list();
    void fetch(const document_fetch& request);
    void publish();

    caf::event_based_actor* m_self = nullptr;
    caf::actor m_fetcher;
    board* m_board = nullptr;
    document_table m_table;
    bool m_asking = false;
};

/// The behaviour of the document controller. `shared` outlives the actor.
caf::behavior document_controller(caf::stateful_actor<document_controller_state>* self, const caf::actor& fetcher,
                                  board* shared);

} // namespace lagoonferry
