#pragma once

#include "dispatch/slot_holder.h"
#include "roles/messages.h"

#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lagoonferry {

struct board;
class group_map;
class datagram_sender;

/// The slot holder of an entry process: sends the slot requests of the threads that serve callers to dispatchers, and
/// sets the results on their tickets.
class slot_controller_state {
public:
    void start(caf::event_based_actor* self, const std::string& id, std::uint64_t incarnation, const board* shared,
               datagram_sender* sender);
    void on_acquire(const acquire_slot& message);
    void on_return(const return_slot& message);
    void on_datagram(const slot_datagram& message);
    void on_tick();

private:
    void send_due(timestamp now);
    void update_dispatchers();
    void forward_token_counts();
    std::optional<std::string> group_for(const slot_acquire& request) const;

    caf::event_based_actor* m_self = nullptr;
    const board* m_board = nullptr;
    datagram_sender* m_sender = nullptr;
    std::unique_ptr<slot_holder> m_holder;
    std::map<std::uint64_t, std::shared_ptr<slot_ticket>> m_tickets;
    std::shared_ptr<const group_map> m_known_groups; ///< groups whose dispatchers `m_holder` knows
};

/// Returns the behaviour of the slot controller. `shared` and `sender` must outlive the actor.
caf::behavior slot_controller(caf::stateful_actor<slot_controller_state>* self, const std::string& id,
                              std::uint64_t incarnation, const board* shared, datagram_sender* sender);

} // namespace lagoonferry
