#include "roles/slot_controller.h"

#include "blackboard/board.h"
#include "entry/slot_ticket.h"
#include "peer/datagram_sender.h"

#include <caf/event_based_actor.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::chrono::milliseconds no_dispatcher_retry{1000};

/// Returns the first request id. Ids start above those of an earlier process with the same instance id, because
/// dispatchers may still know its slots. Ids below 2^32 take 5 bytes in CBOR; 16 ids per millisecond are more than a
/// process uses.
std::uint64_t first_request_id(std::uint64_t incarnation_ms)
{
    return 1 + ((incarnation_ms << 4U) & 0xffff'ffffU);
}

} // namespace

void slot_controller_state::start(caf::event_based_actor* self, const std::string& id, std::uint64_t incarnation,
                                  const board* shared, datagram_sender* sender)
{
    m_self = self;
    m_board = shared;
    m_sender = sender;
    m_holder = std::make_unique<slot_holder>(id, first_request_id(incarnation));
    self->send(self, tick_atom::value);
}

std::optional<std::string> slot_controller_state::group_for(const slot_acquire& request) const
{
    const auto targets = m_board->targets.read();
    const auto groups = targets->groups->groups_of(request.model, request.prefix);
    return groups.empty() ? std::nullopt : std::optional(groups.front());
}

void slot_controller_state::on_acquire(const acquire_slot& message)
{
    const timestamp now = steady_now();
    const auto group = group_for(message.request);
    if (!group) {
        message.ticket->set_result(slot_refuse{0, no_dispatcher_retry, result_code::no_target});
        return;
    }
    const std::uint64_t request = m_holder->acquire(*group, message.request, now);
    message.ticket->set_request(request);
    m_tickets.emplace(request, message.ticket);
    update_dispatchers();
    send_due(now);
}

void slot_controller_state::on_return(const return_slot& message)
{
    const timestamp now = steady_now();
    m_holder->cancel(message.request, now);
    m_holder->release(message.request, message.observation, now);
    m_tickets.erase(message.request);
    send_due(now);
}

void slot_controller_state::on_datagram(const slot_datagram& message)
{
    const timestamp now = steady_now();
    const auto outcome = m_holder->handle(message.group, message.from, message.message, now);
    if (outcome) {
        const auto it = m_tickets.find(outcome->request);
        if (it != m_tickets.end()) {
            switch (outcome->what) {
            case slot_event::kind::granted:
                it->second->set_result(outcome->slot);
                break;
            case slot_event::kind::refused:
                it->second->set_result(outcome->refuse);
                m_tickets.erase(it);
                break;
            case slot_event::kind::preempted:
                it->second->preempt();
                break;
            }
        }
    }
    send_due(now);
}

void slot_controller_state::on_tick()
{
    update_dispatchers();
    forward_token_counts();
    send_due(steady_now());
    m_self->delayed_send(m_self, tick_interval, tick_atom::value);
}

void slot_controller_state::forward_token_counts()
{
    for (const auto& [request, ticket] : m_tickets) {
        for (std::uint32_t n = ticket->take_tokens(); n > 0; --n) {
            m_holder->add_token(request);
        }
    }
}

void slot_controller_state::update_dispatchers()
{
    const auto targets = m_board->targets.read();
    if (!targets->groups || targets->groups == m_known_groups) {
        return;
    }
    m_known_groups = targets->groups;
    for (const target_group& group : m_known_groups->groups()) {
        m_holder->set_dispatchers(group.id, m_known_groups->dispatchers_of(group.id));
    }
}

void slot_controller_state::send_due(timestamp now)
{
    const auto members = m_board->members.read();
    for (const group_message& item : m_holder->due(now)) {
        const member* dispatcher = members->find(item.to);
        if (dispatcher == nullptr) {
            continue;
        }
        const network_address to{dispatcher->address.ip, dispatcher->address.datagram_port};
        m_sender->send(to, datagram_kind::dispatch, {{"g", item.group}, {"m", encode_slot_message(item.message)}});
    }
}

caf::behavior slot_controller(caf::stateful_actor<slot_controller_state>* self, const std::string& id,
                              std::uint64_t incarnation, const board* shared, datagram_sender* sender)
{
    self->state.start(self, id, incarnation, shared, sender);
    return {
        [self](const acquire_slot& message) { self->state.on_acquire(message); },
        [self](const return_slot& message) { self->state.on_return(message); },
        [self](const slot_datagram& message) { self->state.on_datagram(message); },
        [self](tick_atom) { self->state.on_tick(); },
    };
}

} // namespace lagoonferry
