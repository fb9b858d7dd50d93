#include "roles/membership_controller.h"

#include "blackboard/board.h"
#include "peer/datagram_sender.h"
#include "roles/stop_signal.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::size_t peers_per_heartbeat = 3;

network_address datagram_address(const member& item)
{
    return {item.address.ip, item.address.datagram_port};
}

} // namespace

void membership_controller_state::start(caf::event_based_actor* self, const membership_options& options,
                                        membership_receivers receivers, board* shared, datagram_sender* sender)
{
    m_self = self;
    m_receivers = std::move(receivers);
    m_options = options;
    m_board = shared;
    m_sender = sender;
    m_table =
        std::make_unique<member_table>(options.self, options.timing, std::uint16_t{0}, options.seed, steady_now());
    m_addresses = std::make_unique<address_lookup>(options.address_ttl);
    publish(steady_now());
    self->send(self, tick_atom::value);
}

void membership_controller_state::on_tick()
{
    const timestamp now = steady_now();
    m_table->set_own_load(*m_board->load_percent.read());
    stop_if_superseded();
    m_table->set_contacts(*m_board->contacts.read(), now);
    add_document_targets(now);
    send_heartbeats(now);
    publish(now);
    m_self->delayed_send(m_self, m_options.heartbeat_interval, tick_atom::value);
}

void membership_controller_state::stop_if_superseded()
{
    if (!m_table->superseded() || *m_board->superseded.read()) {
        return;
    }
    log(log_part::membership, log_level::error, "A newer process with the same id is running; stopping.",
        field("id", m_options.self.id), field("incarnation", m_table->self().incarnation));
    m_board->superseded.write(true);
    request_stop();
}

void membership_controller_state::send_heartbeats(timestamp now)
{
    heartbeat message =
        m_table->next_heartbeat(*m_board->announced_documents.read(), *m_board->announced_partitions.read(), now);
    std::vector<network_address> peers;
    std::ranges::transform(m_table->next_peers(peers_per_heartbeat, now), std::back_inserter(peers), datagram_address);
    if (peers.empty()) {
        peers = m_options.seeds;
        message.wants_reply = true;
    }
    const nlohmann::json body = to_json(message);
    for (const network_address& to : peers) {
        m_sender->send(to, datagram_kind::heartbeat, body);
    }
}

void membership_controller_state::on_heartbeat(const heartbeat_datagram& received)
{
    const timestamp now = steady_now();
    const std::string& sender = received.message.sender.subject.id;
    if (m_table->receive(received.message, now)) {
        heartbeat reply = m_table->reply(received.message, *m_board->announced_partitions.read(), now);
        reply.documents = *m_board->announced_documents.read();
        m_sender->send(received.from, datagram_kind::heartbeat, to_json(reply));
    }
    if (m_receivers.ownership && !received.message.partitions.empty()) {
        m_self->send(m_receivers.ownership,
                     partition_announcement{sender, process_start(received.message.sender.subject.incarnation),
                                            received.message.partitions});
    }
    if (!received.message.documents.empty()) {
        m_self->send(m_receivers.documents, document_announcement{sender, received.message.documents});
    }
}

void membership_controller_state::on_member_seen(const member_seen& message)
{
    m_table->update_last_seen(message.id, steady_now());
}

void membership_controller_state::on_instances(const listed_instances& message)
{
    const timestamp now = steady_now();
    m_table->merge_instances(message.rows, now);
    publish(now);
}

bool membership_controller_state::on_drain(const drain_request& request)
{
    const std::string& id = request.id.empty() ? m_options.self.id : request.id;
    const timestamp now = steady_now();
    const bool known = m_table->mark_leaving(id, now);
    if (known) {
        log(log_part::membership, log_level::info, "Instance is leaving.", field("id", id));
        send_heartbeats(now);
        publish(now);
    }
    return known;
}

void membership_controller_state::publish(timestamp now)
{
    const std::vector<member> entries = m_table->usable(member_role::entry, now);
    m_board->members.write(
        {entries, m_table->usable(member_role::dispatch, now), m_table->members(member_role::target)});
    std::vector<observed_member> observed;
    std::ranges::transform(m_table->members(member_role::entry), std::back_inserter(observed), [&](const member& item) {
        return observed_member{item, m_table->liveness(item.id, now) == member_liveness::presumed_down};
    });
    m_board->all_entries.write(std::move(observed));
    m_board->instances_known.write(m_table->listed(m_options.self.id).has_value());
    m_addresses->update(entries);
    m_board->addresses.write(std::make_shared<const address_lookup>(*m_addresses));
    publish_targets();
}

void membership_controller_state::add_document_targets(timestamp now)
{
    std::set<std::string, std::less<>> ids;
    const auto add = [&ids](const target& item) { ids.insert(item.id); };
    const auto documents = m_board->documents.read();
    for (const auto& [service, in_force] : documents->services) {
        for (const model& item : in_force->document.models) {
            std::ranges::for_each(item.targets, add);
        }
        for (const tool& item : in_force->document.tools) {
            std::ranges::for_each(item.targets, add);
        }
    }
    m_table->set_targets(std::move(ids), now);
}

target_state membership_controller_state::state_of(const std::string& target) const
{
    const auto known = m_table->find(target);
    if (known && known->state == member_state::gone) {
        return target_state::gone;
    }
    return m_table->excluded(target) ? target_state::leaving : target_state::live;
}

void membership_controller_state::publish_targets()
{
    target_map map;
    std::vector<target_info> infos;
    const auto documents = m_board->documents.read();
    for (const auto& [service, in_force] : documents->services) {
        for (const model& item : in_force->document.models) {
            for (const target& engine : item.targets) {
                target_info info;
                info.id = engine.id;
                info.model = item.name;
                info.failure_domain = engine.failure_domain;
                info.state = state_of(engine.id);
                infos.push_back(info);
                map.targets[engine.id] = {info, engine.address, engine.checks_fence, service};
            }
        }
    }
    std::vector<std::string> dispatchers;
    std::ranges::transform(m_board->members.read()->dispatchers, std::back_inserter(dispatchers), &member::id);
    map.groups = std::make_shared<const group_map>(infos, std::move(dispatchers));
    m_board->targets.write(std::move(map));
}

caf::behavior membership_controller(caf::stateful_actor<membership_controller_state>* self,
                                    const membership_options& options, const membership_receivers& receivers,
                                    board* shared, datagram_sender* sender)
{
    self->state.start(self, options, receivers, shared, sender);
    return {
        [self](tick_atom) { self->state.on_tick(); },
        [self](const heartbeat_datagram& received) { self->state.on_heartbeat(received); },
        [self](const member_seen& message) { self->state.on_member_seen(message); },
        [self](const listed_instances& message) { self->state.on_instances(message); },
        [self](const drain_request& request) { return self->state.on_drain(request); },
    };
}

} // namespace lagoonferry
