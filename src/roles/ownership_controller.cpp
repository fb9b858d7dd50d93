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

// A backup rereads the head record of its partition after this time, because the list of backups can change. With 4,096
// replicas in the fleet these are 68 reads per second.
constexpr timestamp head_reread_interval = std::chrono::seconds(60);

// Reread interval of a backup that the head does not name yet. The head names it only after it has caught up.
constexpr timestamp unlisted_head_reread_interval = std::chrono::seconds(5);

// In a large fleet, heartbeats from owners that are not contacts are rare. If no owner has claimed a partition within
// this time, callers are redirected to its owner by placement.
constexpr timestamp max_claim_age = std::chrono::seconds(60);

// Longer than the timeout of the platform workers, which always reply.
constexpr std::chrono::seconds platform_timeout{60};

constexpr timestamp takeover_retry_interval = std::chrono::seconds(1);

// For this time after its start a process takes over no partition of unknown owner, so that heartbeats can name it.
constexpr timestamp settle_time = std::chrono::seconds(2);

// A partition is handed over only after the placement has assigned it to another member for this time.
constexpr timestamp min_misplaced_time = std::chrono::seconds(5);

std::string rpc_address(const member& item)
{
    return to_string(network_address{item.address.ip, item.address.rpc_port});
}

peer_state to_peer_state(const member& item)
{
    peer_state peer;
    peer.instance = {item.id, rpc_address(item)};
    peer.incarnation = process_start(item.incarnation);
    peer.failure_domain = item.failure_domain;
    peer.leaving = item.state == member_state::leaving;
    return peer;
}

bool equal_peers(const peer_state& a, const peer_state& b)
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
        // Until the list of peers is complete there is no takeover: a backup that is missing in it would count as gone.
        m_self->delayed_send(m_self, tick_interval, tick_atom::value);
        return;
    }
    update_placement();
    send_membership();
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        evaluate_partition(partition, now);
    }
    publish_contacts();
    m_board->announced_partitions.write(m_owners->next_heartbeat(max_heartbeat_partitions));
    publish();
    m_self->delayed_send(m_self, tick_interval, tick_atom::value);
}

// Placing 2,048 partitions on 340 members takes tens of milliseconds, so it is repeated only if the members changed.
void ownership_controller_state::update_placement()
{
    const auto members = m_board->members.read();
    std::vector<member> alive;
    std::ranges::copy_if(members->entries, std::back_inserter(alive),
                         [](const member& item) { return item.state == member_state::alive; });
    const auto equal_for_placement = [](const member& a, const member& b) {
        return a.id == b.id && a.capacity == b.capacity && a.failure_domain == b.failure_domain;
    };
    const bool unchanged = !m_preferred_owners.empty() && std::ranges::equal(alive, m_alive, equal_for_placement);
    m_alive = std::move(alive);
    if (unchanged) {
        return;
    }
    m_placement = placement(m_alive);
    m_preferred_owners.clear();
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        const auto place = m_placement.of(partition);
        m_preferred_owners.push_back(place ? place->owner : std::string());
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
        peer_state peer = to_peer_state(item.known);
        peer.presumed_down = item.presumed_down;
        peers.push_back(std::move(peer));
    }
    if (std::ranges::equal(peers, m_last_peers, equal_peers)) {
        return;
    }
    m_last_peers = std::move(peers);
    for (std::uint32_t partition = 0; partition < m_records.size(); ++partition) {
        if (m_records[partition].active) {
            send_peers(partition);
        }
    }
}

// Sorts the peers by the placement order of the partition. With the same order for all partitions, a few members would
// hold the replicas of the whole fleet.
void ownership_controller_state::send_peers(std::uint32_t partition)
{
    const std::vector<std::string> order = m_placement.order(partition);
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
            head.owner = m_records[partition].owned || find_reachable(head.owner) ? head.owner : std::string();
            heads.push_back(std::move(head));
        }
    }
    m_board->contacts.write(replica_peers(m_options.self, heads));
}

// An owner known with a higher epoch than the head's shows that the head is out of date.
bool ownership_controller_state::is_backup(std::uint32_t partition) const
{
    const partition_record& record = m_records[partition];
    const auto owner = m_owners->find(partition);
    return !record.owned &&
           std::ranges::find(record.head.backups, m_options.self, &head_backup::id) != record.head.backups.end() &&
           (!owner || owner->epoch <= record.head.epoch);
}

bool ownership_controller_state::needs_head_read(std::uint32_t partition, timestamp now) const
{
    const partition_record& record = m_records[partition];
    if (record.replica_epoch == 0) {
        return false;
    }
    const timestamp interval = is_backup(partition) ? head_reread_interval : unlisted_head_reread_interval;
    return record.head_read_at.count() == 0 || now - record.head_read_at >= interval;
}

void ownership_controller_state::evaluate_partition(std::uint32_t partition, timestamp now)
{
    partition_record& record = m_records[partition];
    if (m_preferred_owners[partition].empty() || record.handing_over) {
        return;
    }
    if (record.owned) {
        const bool misplaced = m_preferred_owners[partition] != m_options.self;
        if (!misplaced) {
            record.misplaced_since = timestamp{0};
        }
        else if (record.misplaced_since.count() == 0) {
            record.misplaced_since = now;
        }
        else if (now - record.misplaced_since >= min_misplaced_time) {
            hand_over(partition, m_preferred_owners[partition]);
        }
        return;
    }
    const bool candidate =
        record.lost_without_successor || m_preferred_owners[partition] == m_options.self || is_backup(partition);
    const bool ownerless = candidate && !has_valid_claim(partition, now) && now >= m_started + settle_time;
    if ((ownerless || needs_head_read(partition, now)) && now >= record.next_takeover && !record.reading_head) {
        read_head(partition, now);
    }
}

// A claim older than `presumed_down` is not valid, because the successor of a handover may have failed. The head record
// determines the owner then.
bool ownership_controller_state::has_valid_claim(std::uint32_t partition, timestamp now) const
{
    const auto owner = m_owners->find(partition);
    if (!owner || owner->id == m_options.self || now - m_records[partition].last_claim >= m_options.presumed_down) {
        return false;
    }
    return check_owner({owner->epoch, owner->id, owner->start, {}}, find_reachable(owner->id)) == owner_status::usable;
}

void ownership_controller_state::read_head(std::uint32_t partition, timestamp now)
{
    m_records[partition].next_takeover = now + takeover_retry_interval;
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
    record.head_read_at = now;
    if (!is_backup(partition)) {
        record.replica_epoch = 0; // If the replica is still in use, its next batch causes another read.
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
        return true; // This process has not completed its takeover.
    }
    switch (check_owner(head, find_reachable(head.owner))) {
    case owner_status::usable:
        m_owners->learn(head.owner, std::array{owned_partition{partition, head.epoch}}, head.owner_incarnation);
        record.last_claim = now;
        record.lost_without_successor = false;
        return false;
    case owner_status::pending:
        if (record.pending_epoch != head.epoch) {
            record.pending_epoch = head.epoch;
            record.pending_since = now;
        }
        return now - record.pending_since >= m_options.presumed_down;
    case owner_status::failed:
        break;
    }
    return true;
}

std::optional<member> ownership_controller_state::find_reachable(const std::string& id) const
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
    const std::vector<std::string> usable_backups = backups_with_copy(head, m_alive);
    const auto successor = m_placement.successor(partition, usable_backups);
    if (!successor) {
        return;
    }
    if (*successor == m_options.self || (usable_backups.empty() && head.owner == m_options.self)) {
        return take_over(partition, now);
    }
    // If no backup has a replica, the owner by placement reads the head itself and needs no request.
    const auto next = usable_backups.empty() ? std::nullopt : find_reachable(*successor);
    if (next) {
        m_self->send(m_receivers.peers, send_takeover{rpc_address(*next), partition});
    }
}

void ownership_controller_state::take_over(std::uint32_t partition, timestamp now)
{
    m_records[partition].next_takeover = now + takeover_retry_interval;
    // Others ignore the heartbeats of a superseded process and send it none, so it presumes all of them down.
    if (*m_board->stopping.read() || *m_board->superseded.read()) {
        return;
    }
    log(log_part::program, log_level::info, "Taking over a partition.", field("partition", partition));
    m_records[partition].active = true;
    send_peers(partition);
    m_self->send(m_partitions[partition], partition_event{start_takeover{}, nullptr});
}

void ownership_controller_state::hand_over(std::uint32_t partition, const std::string& successor)
{
    const auto next = find_reachable(successor);
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
    record.replica_epoch = 0;
    record.head = {status.epoch, status.owned ? m_options.self : std::string(), m_options.start_time, {}};
    record.head_read_at = timestamp{0};
    record.epoch = status.epoch;
    record.handing_over = false;
    record.misplaced_since = timestamp{0};
    record.lost_without_successor = !status.owned && status.owner_id.empty();
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
        m_records[message.partition].replica_epoch = message.epoch;
    }
}

void ownership_controller_state::on_announcement(const partition_announcement& message)
{
    m_owners->learn(message.owner, message.partitions, message.owner_start_time);
    for (const owned_partition& item : message.partitions) {
        const auto owner = item.partition < m_records.size() ? m_owners->find(item.partition) : std::nullopt;
        if (owner && owner->id == message.owner) {
            m_records[item.partition].last_claim = steady_now();
        }
    }
}

void ownership_controller_state::on_takeover(const takeover_request& request)
{
    // Without a complete list of peers the request is ignored. The sender repeats it, or the head is read later.
    if (request.partition < m_records.size() && !m_records[request.partition].owned && !m_preferred_owners.empty()) {
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
        const bool claimed_recently = owner && now - m_records[partition].last_claim < max_claim_age;
        const std::string preferred =
            partition < m_preferred_owners.size() ? m_preferred_owners[partition] : std::string();
        const auto it = addresses.find(claimed_recently ? owner->id : preferred);
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
