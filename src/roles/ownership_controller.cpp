#include "roles/ownership_controller.h"

#include "blackboard/board.h"
#include "journal/head_record.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds tick_interval{250};
// A backup reads the head of its partition again after this time, because the list of backups can change. With 4,096
// copies in the fleet these are 68 reads a second.
constexpr timestamp head_age = std::chrono::seconds(60);

// The head names a new backup only after that backup has caught up.
constexpr timestamp unlisted_head_age = std::chrono::seconds(5);

// Claims of owners that are not contacts are rare in a large fleet. Without a claim in this time, the best placed
// member is taken for the owner when callers are redirected.
constexpr timestamp claim_age = std::chrono::seconds(60);

// Longer than the timeout of the platform workers, which answer in every case.
constexpr std::chrono::seconds platform_timeout{60};

constexpr timestamp takeover_retry = std::chrono::seconds(1);

// A partition whose owner is unknown is left alone this long after the start, so that heartbeats can name its owner.
constexpr timestamp settle_time = std::chrono::seconds(2);

// A partition moves to a better placed member only when the placement has stayed the same for this time.
constexpr timestamp misplaced_time = std::chrono::seconds(5);

std::string rpc_address(const member& item)
{
    return to_string(network_address{item.address.ip, item.address.rpc_port});
}

peer_state as_peer(const member& item)
{
    peer_state peer;
    peer.instance = {item.id, rpc_address(item)};
    peer.incarnation = process_start(item.incarnation);
    peer.failure_domain = item.failure_domain;
    peer.leaving = item.state == member_state::leaving;
    return peer;
}

bool same(const peer_state& a, const peer_state& b)
{
    return a.instance == b.instance && a.incarnation == b.incarnation && a.presumed_down == b.presumed_down &&
           a.leaving == b.leaving && a.listed == b.listed;
}

std::vector<head_backup> backups_of(const std::vector<backup_ref>& backups)
{
    std::vector<head_backup> result;
    std::ranges::transform(backups, std::back_inserter(result), [](const backup_ref& backup) {
        return head_backup{backup.id, backup.incarnation};
    });
    return result;
}

head_view view_of(const head_record& head)
{
    head_view view{head.epoch, head.owner.id, head.owner_incarnation, {}};
    view.backups = backups_of(head.backups);
    return view;
}

} // namespace

void ownership_controller_state::start(caf::event_based_actor* self, const ownership_options& options,
                                       ownership_receivers receivers, board* shared)
{
    m_self = self;
    m_options = options;
    m_receivers = std::move(receivers);
    m_board = shared;
    m_owners = std::make_unique<partition_owners>(options.self);
    m_records.resize(options.partitions);
    m_started = steady_now();
}

void ownership_controller_state::set_partitions(std::vector<caf::actor> partitions)
{
    m_partitions = std::move(partitions);
    m_self->send(m_self, tick_atom::value);
}

void ownership_controller_state::on_tick()
{
    const timestamp now = steady_now();
    if (!*m_board->instances_known.read()) {
        // A backup that is missing among the peers counts as gone, so peers must be complete before a takeover.
        m_self->delayed_send(m_self, tick_interval, tick_atom::value);
        return;
    }
    update_placement();
    send_membership();
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        consider(partition, now);
    }
    publish_contacts();
    m_board->announced_partitions.write(m_owners->next_heartbeat(max_heartbeat_partitions));
    publish();
    m_self->delayed_send(m_self, tick_interval, tick_atom::value);
}

// Placing 2,048 partitions on 340 members takes tens of milliseconds, so it is repeated only after a change.
void ownership_controller_state::update_placement()
{
    const auto members = m_board->members.read();
    std::vector<member> alive;
    std::ranges::copy_if(members->entries, std::back_inserter(alive),
                         [](const member& item) { return item.state == member_state::alive; });
    const auto same_place = [](const member& a, const member& b) {
        return a.id == b.id && a.capacity == b.capacity && a.failure_domain == b.failure_domain;
    };
    const bool same = !m_best.empty() && std::ranges::equal(alive, m_alive, same_place);
    m_alive = std::move(alive);
    if (same) {
        return;
    }
    m_places = placement(m_alive);
    m_best.clear();
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        const auto place = m_places.of(partition);
        m_best.push_back(place ? place->owner : std::string());
    }
}

void ownership_controller_state::send_membership()
{
    std::vector<peer_state> peers;
    const auto view = m_board->all_entries.read();
    for (const observed_member& item : *view) {
        if (item.known.id == m_options.self) {
            continue;
        }
        peer_state peer = as_peer(item.known);
        peer.presumed_down = item.presumed_down;
        peers.push_back(std::move(peer));
    }
    if (std::ranges::equal(peers, m_last_peers, same)) {
        return;
    }
    m_last_peers = std::move(peers);
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        if (m_records[partition].active) {
            send_peers(partition);
        }
    }
}

// Each partition prefers other backups. In the same order for all, a few members would keep the copies of the fleet.
void ownership_controller_state::send_peers(std::uint32_t partition)
{
    const std::vector<std::string> order = m_places.order(partition);
    std::map<std::string_view, std::size_t> ranks;
    for (const std::string& id : order) {
        ranks.emplace(id, ranks.size());
    }
    std::vector<peer_state> peers = m_last_peers;
    std::ranges::stable_sort(peers, {}, [&](const peer_state& peer) {
        const auto it = ranks.find(peer.instance.id);
        return it == ranks.end() ? ranks.size() : it->second;
    });
    m_self->send(m_partitions[partition], partition_event{membership_changed{std::move(peers)}, nullptr});
}

void ownership_controller_state::publish_contacts()
{
    std::vector<head_view> heads;
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        if (m_records[partition].owned || is_backup(partition)) {
            head_view head = m_records[partition].head;
            head.owner = m_records[partition].owned || reachable(head.owner) ? head.owner : std::string();
            heads.push_back(std::move(head));
        }
    }
    m_board->contacts.write(replica_peers(m_options.self, heads));
}

// A claim with a higher epoch than the head's shows that the head is out of date.
bool ownership_controller_state::is_backup(std::uint32_t partition) const
{
    const partition_record& record = m_records[partition];
    const auto owner = m_owners->find(partition);
    return !record.owned &&
           std::ranges::find(record.head.backups, m_options.self, &head_backup::id) != record.head.backups.end() &&
           (!owner || owner->epoch <= record.head.epoch);
}

bool ownership_controller_state::wants_head(std::uint32_t partition, timestamp now) const
{
    const partition_record& record = m_records[partition];
    if (record.copy_epoch == 0) {
        return false;
    }
    const timestamp age = is_backup(partition) ? head_age : unlisted_head_age;
    return record.head_read.count() == 0 || now - record.head_read >= age;
}

void ownership_controller_state::consider(std::uint32_t partition, timestamp now)
{
    partition_record& record = m_records[partition];
    if (m_best[partition].empty() || record.handing_over) {
        return;
    }
    if (record.owned) {
        const bool misplaced = m_best[partition] != m_options.self;
        if (!misplaced) {
            record.misplaced_since = timestamp{0};
        }
        else if (record.misplaced_since.count() == 0) {
            record.misplaced_since = now;
        }
        else if (now - record.misplaced_since >= misplaced_time) {
            hand_over(partition, m_best[partition]);
        }
        return;
    }
    const bool candidate = record.lost_here || m_best[partition] == m_options.self || is_backup(partition);
    const bool ownerless = candidate && !claim_holds(partition, now) && now >= m_started + settle_time;
    if ((ownerless || wants_head(partition, now)) && now >= record.next_takeover && !record.reading_head) {
        read_head(partition, now);
    }
}

// A claim older than the limit proves nothing: the successor of a handover may have failed. The head decides then.
bool ownership_controller_state::claim_holds(std::uint32_t partition, timestamp now) const
{
    const auto owner = m_owners->find(partition);
    if (!owner || owner->id == m_options.self || now - m_records[partition].claimed >= m_options.presumed_down) {
        return false;
    }
    return check_owner({owner->epoch, owner->id, owner->start, {}}, reachable(owner->id)) == owner_status::usable;
}

void ownership_controller_state::read_head(std::uint32_t partition, timestamp now)
{
    m_records[partition].next_takeover = now + takeover_retry;
    m_records[partition].reading_head = true;
    kv_call call;
    call.key = head_key(partition);
    m_self->request(m_receivers.platform, platform_timeout, platform_request{call})
        .then([this, partition](const kv_reply& reply) { on_head(partition, reply); },
              [this, partition](const caf::error&) { m_records[partition].reading_head = false; });
}

void ownership_controller_state::on_head(std::uint32_t partition, const kv_reply& reply)
{
    const timestamp now = steady_now();
    partition_record& record = m_records[partition];
    record.reading_head = false;
    const auto head = reply.version == 0 ? std::optional(head_record{}) : decode_head(reply.value);
    if (record.owned || reply.status != kv_status::ok || !head) {
        return;
    }
    record.head = view_of(*head);
    record.head_read = now;
    if (!is_backup(partition)) {
        record.copy_epoch = 0; // A copy that is still in use receives another batch, which asks for the head again.
    }
    if (now >= m_started + settle_time && owner_has_failed(partition, record.head, now)) {
        replace_owner(partition, now);
    }
}

bool ownership_controller_state::owner_has_failed(std::uint32_t partition, const head_view& head, timestamp now)
{
    partition_record& record = m_records[partition];
    if (head.owner == m_options.self &&
        (head.owner_incarnation == 0 || head.owner_incarnation == m_options.start_time)) {
        return true; // A takeover of this process did not end.
    }
    switch (check_owner(head, reachable(head.owner))) {
    case owner_status::usable:
        m_owners->learn(head.owner, std::array{owned_partition{partition, head.epoch}}, head.owner_incarnation);
        record.claimed = now;
        record.lost_here = false;
        return false;
    case owner_status::pending:
        if (record.awaited_epoch != head.epoch) {
            record.awaited_epoch = head.epoch;
            record.awaited_since = now;
        }
        return now - record.awaited_since >= m_options.presumed_down;
    case owner_status::failed:
        break;
    }
    return true;
}

std::optional<member> ownership_controller_state::reachable(const std::string& id) const
{
    const auto entries = m_board->all_entries.read();
    const auto it = std::ranges::find_if(*entries, [&id](const observed_member& item) { return item.known.id == id; });
    if (it == entries->end() || it->presumed_down || it->known.state == member_state::gone) {
        return std::nullopt;
    }
    return it->known;
}

void ownership_controller_state::replace_owner(std::uint32_t partition, timestamp now)
{
    const head_view& head = m_records[partition].head;
    if (head.owner == m_options.self && head.owner_incarnation != 0 && head.owner_incarnation == m_options.start_time) {
        return take_over(partition, now);
    }
    const std::vector<std::string> holders = backups_with_copy(head, m_alive);
    const auto successor = m_places.successor(partition, holders);
    if (!successor) {
        return;
    }
    if (*successor == m_options.self || (holders.empty() && head.owner == m_options.self)) {
        return take_over(partition, now);
    }
    // Without holders the best placed member reads the head itself.
    const auto next = holders.empty() ? std::nullopt : reachable(*successor);
    if (next) {
        m_self->send(m_receivers.peers, send_takeover{rpc_address(*next), partition});
    }
}

void ownership_controller_state::take_over(std::uint32_t partition, timestamp now)
{
    m_records[partition].next_takeover = now + takeover_retry;
    // A superseded process hears from nobody, because its heartbeats count no more, and takes all others for down.
    if (*m_board->stopping.read() || *m_board->superseded.read()) {
        return;
    }
    log(log_part::program, log_level::info, "Taking a partition over.", field("partition", partition));
    m_records[partition].active = true;
    send_peers(partition);
    m_self->send(m_partitions[partition], partition_event{start_takeover{}, nullptr});
}

void ownership_controller_state::hand_over(std::uint32_t partition, const std::string& successor)
{
    const auto next = reachable(successor);
    if (!next) {
        return;
    }
    m_records[partition].handing_over = true;
    const start_handover order{{next->id, rpc_address(*next)}};
    m_self->send(m_partitions[partition], partition_event{order, nullptr});
}

void ownership_controller_state::on_status(const partition_status& status)
{
    partition_record& record = m_records.at(status.partition);
    record.owned = status.owned;
    record.active = status.owned;
    record.copy_epoch = 0;
    record.head = {status.epoch, status.owned ? m_options.self : std::string(), m_options.start_time, {}};
    record.head_read = timestamp{0};
    record.epoch = status.epoch;
    record.handing_over = false;
    record.misplaced_since = timestamp{0};
    record.lost_here = !status.owned && status.owner_id.empty();
    if (!status.successor_address.empty()) {
        m_self->send(m_receivers.peers, send_takeover{status.successor_address, status.partition});
        record.next_takeover = steady_now() + m_options.presumed_down;
    }
    std::vector<owned_partition> own;
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        if (m_records[partition].owned) {
            own.push_back({partition, m_records[partition].epoch});
        }
    }
    m_owners->set_own(std::move(own));
    m_board->announced_partitions.write(m_owners->next_heartbeat(max_heartbeat_partitions));
    publish();
}

void ownership_controller_state::on_backups(const partition_backups& message)
{
    m_records.at(message.partition).head.backups = backups_of(message.backups);
}

void ownership_controller_state::on_replica_stored(const replica_stored& message)
{
    if (message.partition < m_records.size() && !m_records[message.partition].owned) {
        m_records[message.partition].copy_epoch = message.epoch;
    }
}

void ownership_controller_state::on_announcement(const partition_announcement& message)
{
    m_owners->learn(message.owner, message.partitions, message.owner_start_time);
    for (const owned_partition& item : message.partitions) {
        const auto owner = item.partition < m_records.size() ? m_owners->find(item.partition) : std::nullopt;
        if (owner && owner->id == message.owner) {
            m_records[item.partition].claimed = steady_now();
        }
    }
}

void ownership_controller_state::on_takeover(const takeover_request& request)
{
    // Peers must be complete before a takeover; the sender asks again, or the head is read later.
    if (request.partition < m_records.size() && !m_records[request.partition].owned && !m_best.empty()) {
        take_over(request.partition, steady_now());
    }
}

std::size_t ownership_controller_state::on_stop()
{
    std::vector<member> others;
    std::ranges::copy_if(m_board->members.read()->entries, std::back_inserter(others), [this](const member& item) {
        return item.id != m_options.self && item.state == member_state::alive;
    });
    const placement places(others);
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        const auto place = places.of(partition);
        if (place && m_records[partition].owned && !m_records[partition].handing_over) {
            hand_over(partition, place->owner);
        }
    }
    return static_cast<std::size_t>(std::ranges::count(m_records, true, &partition_record::owned));
}

void ownership_controller_state::publish()
{
    owner_view view;
    const timestamp now = steady_now();
    const auto entries = m_board->all_entries.read();
    std::map<std::string_view, std::string> addresses;
    for (const observed_member& item : *entries) {
        if (!item.presumed_down && item.known.id != m_options.self) {
            addresses[item.known.id] = to_string(network_address{item.known.address.ip, item.known.address.http_port});
        }
    }
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        if (m_records[partition].owned) {
            if (!m_records[partition].handing_over) {
                view.own.push_back(partition);
            }
            continue;
        }
        const auto owner = m_owners->find(partition);
        const bool claimed = owner && now - m_records[partition].claimed < claim_age;
        const std::string best = partition < m_best.size() ? m_best[partition] : std::string();
        const auto it = addresses.find(claimed ? owner->id : best);
        if (it != addresses.end()) {
            view.addresses[partition] = it->second;
        }
    }
    m_board->owners.write(std::move(view));
}

caf::behavior ownership_controller(caf::stateful_actor<ownership_controller_state>* self,
                                   const ownership_options& options, const ownership_receivers& receivers,
                                   board* shared)
{
    self->state.start(self, options, receivers, shared);
    return {
        [self](const partition_controllers& message) { self->state.set_partitions(message.controllers); },
        [self](tick_atom) { self->state.on_tick(); },
        [self](const partition_status& status) { self->state.on_status(status); },
        [self](const partition_backups& message) { self->state.on_backups(message); },
        [self](const replica_stored& message) { self->state.on_replica_stored(message); },
        [self](const partition_announcement& message) { self->state.on_announcement(message); },
        [self](const takeover_request& request) { self->state.on_takeover(request); },
        [self](stop_atom) { return static_cast<std::uint64_t>(self->state.on_stop()); },
    };
}

} // namespace lagoonferry
