#include "roles/dispatch_controller.h"

#include "blackboard/board.h"
#include "dispatch/make_dispatcher.h"
#include "peer/datagram_sender.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>
#include <nlohmann/json.hpp>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};

} // namespace

void dispatch_state::start(caf::event_based_actor* self, const std::string& id, std::uint64_t incarnation,
                           board* shared, datagram_sender* sender)
{
    m_self = self;
    m_id = id;
    m_incarnation = incarnation;
    m_board = shared;
    m_sender = sender;
    self->send(self, tick_atom::value);
}

slot_dispatcher& dispatch_state::dispatcher_of(const std::string& group, timestamp now)
{
    const auto it = m_groups.find(group);
    if (it != m_groups.end()) {
        return it->second;
    }
    log(log_part::dispatch, log_level::info, "Serving a group of targets.", field("group", group));
    const auto seed = static_cast<std::uint64_t>(now.count());
    slot_dispatcher& added =
        m_groups.emplace(group, make_dispatcher(dispatch_settings{}, m_incarnation, seed, now)).first->second;
    follow_targets(now);
    return added;
}

void dispatch_state::follow_targets(timestamp now)
{
    const auto targets = m_board->targets.read();
    if (!targets->groups) {
        return;
    }
    std::vector<std::string> holders;
    for (const judged_member& item : *m_board->all_entries.read()) {
        if (!item.presumed_down) {
            holders.push_back(item.known.id);
        }
    }
    for (auto& [group, dispatcher] : m_groups) {
        dispatcher.set_holders(holders);
    }
    for (const auto& item : targets->targets) {
        const auto group = targets->groups->group_of(item.first);
        if (!group) {
            continue;
        }
        const auto it = m_groups.find(*group);
        if (it != m_groups.end()) {
            it->second.set_target(item.second.info, now);
        }
    }
}

void dispatch_state::on_datagram(const slot_datagram& message)
{
    const timestamp now = steady_now();
    send(message.group, dispatcher_of(message.group, now).handle(message.message, now));
}

void dispatch_state::on_loads(const target_loads& message)
{
    const auto targets = m_board->targets.read();
    for (const load_report& report : message.reports) {
        const auto group = targets->groups ? targets->groups->group_of(report.target) : std::nullopt;
        const auto it = group ? m_groups.find(*group) : m_groups.end();
        if (it != m_groups.end()) {
            it->second.report_load(report);
        }
    }
}

void dispatch_state::on_tick()
{
    const timestamp now = steady_now();
    follow_targets(now);
    for (auto& [group, dispatcher] : m_groups) {
        send(group, dispatcher.tick(now));
    }
    publish();
    m_self->delayed_send(m_self, tick_interval, tick_atom::value);
}

void dispatch_state::send(const std::string& group, const outgoing& messages)
{
    const auto members = m_board->members.read();
    for (const outgoing_slot_message& item : messages) {
        const member* holder = members->find(item.to);
        if (holder == nullptr) {
            continue;
        }
        const network_address to{holder->address.ip, holder->address.datagram_port};
        m_sender->send(to, datagram_kind::dispatch, {{"g", group}, {"m", encode_slot_message(item.message)}});
    }
}

void dispatch_state::publish()
{
    std::map<std::string, group_status> view;
    for (const auto& [group, dispatcher] : m_groups) {
        view[group] = {dispatcher.counters(), dispatcher.targets()};
    }
    m_board->dispatch.write(std::move(view));
}

caf::behavior dispatch_controller(caf::stateful_actor<dispatch_state>* self, const std::string& id,
                                  std::uint64_t incarnation, board* shared, datagram_sender* sender)
{
    self->state.start(self, id, incarnation, shared, sender);
    return {
        [self](const slot_datagram& message) { self->state.on_datagram(message); },
        [self](const target_loads& message) { self->state.on_loads(message); },
        [self](tick_atom) { self->state.on_tick(); },
    };
}

} // namespace lagoonferry
