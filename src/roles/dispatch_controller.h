#pragma once

#include "dispatch/slot_dispatcher.h"
#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonferry {

struct board;
class datagram_sender;

/// Grants slots on the groups that this process serves.
class dispatch_state {
public:
    void start(caf::event_based_actor* self, const std::string& id, std::uint64_t incarnation, board* shared,
               datagram_sender* sender);
    void on_datagram(const slot_datagram& message);
    void on_loads(const target_loads& message);
    void on_tick();

private:
    using outgoing = std::vector<outgoing_slot_message>;

    slot_dispatcher& dispatcher_of(const std::string& group, timestamp now);
    void follow_targets(timestamp now);
    void send(const std::string& group, const outgoing& messages);
    void publish();

    caf::event_based_actor* m_self = nullptr;
    std::string m_id;
    std::uint64_t m_incarnation = 0;
    board* m_board = nullptr;
    datagram_sender* m_sender = nullptr;
    std::map<std::string, slot_dispatcher> m_groups;
};

/// The behaviour of the dispatch controller. `shared` and `sender` outlive the actor.
caf::behavior dispatch_controller(caf::stateful_actor<dispatch_state>* self, const std::string& id,
                                  std::uint64_t incarnation, board* shared, datagram_sender* sender);

} // namespace lagoonferry
