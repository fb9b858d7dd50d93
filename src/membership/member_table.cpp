#include "membership/member_table.h"

#include "util/rendezvous.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <limits>
#include <ranges>
#include <utility>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Up to this number of processes, each process has all others as contacts.
constexpr std::size_t max_full_mesh_processes = 24;

/// Heartbeats with fewer pending updates are filled to this number in round-robin order. It is small to limit the
/// traffic of an idle fleet: in a large one, 3 updates in each heartbeat cost each process 1.1 KB/s.
constexpr std::size_t round_robin_processes = 3;
constexpr std::size_t round_robin_processes_large_fleet = 1;

constexpr std::size_t round_robin_targets = 4;

/// With at most this number of contacts, one receiver of a heartbeat is chosen at random among the other members.
constexpr std::size_t max_contacts_with_random_peer = 12;

/// Time after which a contact that has not replied gets another heartbeat out of turn.
constexpr timestamp unanswered_retry_interval = std::chrono::seconds(1);

/// The timeouts of members that are not contacts grow by this fraction for each process of the fleet, because their
/// state arrives only in forwarded updates, about 6 a second.
constexpr std::size_t timeout_scale_numerator = 3;
constexpr std::size_t timeout_scale_denominator = 8;

/// Percentage of the timeouts that applies when last-seen times are forwarded by other members. With 4 receivers a
/// round and 2% of datagrams lost, 260 of 100,000 pairs of 340 live members exceeded the timeouts at 100%.
constexpr std::int64_t gossip_timeout_percent = 170;

/// A target is gone when it is absent from this number of consecutive responses of the instance list.
constexpr std::size_t max_target_absences = 2;

bool is_process(const member& item)
{
    return item.role != member_role::target;
}

/// Returns whether a member without pending updates is still worth sending to others.
bool is_worth_sending(const member& item)
{
    return is_process(item) ? item.state != member_state::gone && item.incarnation > 0
                            : item.state != member_state::alive;
}

target_update target_update_of(const member& target)
{
    return {target.id, target.incarnation, target.state};
}

/// Appends as many of `items` to `list`, a field of `message`, as fit into a heartbeat, the first ones first, and sorts
/// them by `order`. Returns their number.
template <class T, class Order>
std::size_t add_fitting(heartbeat& message, std::vector<T>& list, const std::vector<T>& items, Order order)
{
    const std::vector<T> before = list;
    const auto try_append = [&](std::size_t count) {
        list = before;
        list.insert(list.end(), items.begin(), items.begin() + static_cast<std::ptrdiff_t>(count));
        std::ranges::sort(list.begin() + static_cast<std::ptrdiff_t>(before.size()), list.end(), order);
        return encoded_bytes(message) <= max_heartbeat_bytes;
    };
    if (try_append(items.size())) {
        return items.size();
    }
    std::size_t fits = 0;
    // Binary search, because each step encodes the message.
    for (std::size_t limit = items.size(); fits < limit;) {
        const std::size_t trial = fits + (limit - fits + 1) / 2;
        if (try_append(trial)) {
            fits = trial;
        }
        else {
            limit = trial - 1;
        }
    }
    try_append(fits);
    return fits;
}

constexpr auto unordered = [](const member_update& /*a*/, const member_update& /*b*/) { return false; };

} // namespace

member_table::member_table(member self, member_timing timing, std::uint16_t datagram_port, std::uint64_t seed,
                           timestamp now)
    : m_timing(timing), m_datagram_port(datagram_port),
      m_random(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U)))
{
    m_self.latest_update.subject = std::move(self);
    m_self.incarnation_since = now;
}

bool member_table::receive(const heartbeat& message, timestamp now)
{
    apply(message.sender, now);
    for (const member_update& update : message.updates) {
        apply(update, now);
    }
    apply_last_seen(message.last_seen_entries, now);
    for (const target_update& target : message.targets) {
        apply({member{target.id, target.incarnation, target.state, member_role::target}}, now);
    }
    return message.wants_reply;
}

void member_table::exclude_pause(timestamp duration, timestamp now)
{
    for (record& item : m_records | std::views::values) {
        item.last_seen = std::min(item.last_seen + duration, now);
    }
}

void member_table::update_last_seen(std::string_view id, timestamp now)
{
    record* item = find_record(id);
    if (item != nullptr) {
        item->last_seen = now;
    }
}

void member_table::merge_instances(std::span<const listed_instance> list, timestamp now)
{
    m_list_received = true;
    m_listed.clear();
    for (const listed_instance& row : list) {
        m_listed.insert(row.id);
        merge_row(row, now);
    }
    for (auto& [id, item] : m_records) {
        if (!m_listed.contains(id)) {
            merge_absence(item, now);
        }
    }
    update_contacts(now);
}

bool member_table::mark_leaving(std::string_view id, timestamp now)
{
    record* item = find_record(id);
    if (item == nullptr || item->latest_update.subject.state == member_state::gone) {
        return false;
    }
    raise_state(*item, member_state::leaving, now);
    return true;
}

void member_table::set_targets(std::set<std::string, std::less<>> ids, timestamp now)
{
    m_targets = std::move(ids);
    for (const std::string& id : m_targets) {
        if (find_record(id) == nullptr) {
            start_incarnation(m_records[id], {member{id, 0, member_state::alive, member_role::target}, 0}, now);
        }
    }
}

void member_table::set_own_load(std::uint32_t percent)
{
    m_self.latest_update.subject.load_percent = percent;
}

void member_table::set_contacts(std::set<std::string, std::less<>> ids, timestamp now)
{
    m_contacts = std::move(ids);
    update_contacts(now);
}

heartbeat member_table::next_heartbeat(std::vector<document_version> documents, std::vector<owned_partition> partitions,
                                       timestamp now)
{
    ++m_self.latest_update.sequence;
    heartbeat message{m_self.latest_update,  true, {}, {}, std::move(documents), std::move(partitions),
                      last_seen_to_send(now)};
    const std::size_t min_count =
        m_process_count > max_full_mesh_processes ? round_robin_processes_large_fleet : round_robin_processes;
    std::vector<record*> processes = select_updates(true, max_heartbeat_updates, min_count, m_last_process_sent);
    std::vector<record*> targets =
        select_updates(false, max_heartbeat_targets, round_robin_targets, m_last_target_sent);
    std::vector<member_update> updates;
    std::ranges::transform(processes, std::back_inserter(updates),
                           [&](const record* item) { return with_current_age(*item, now); });
    std::vector<target_update> target_updates;
    std::ranges::transform(targets, std::back_inserter(target_updates),
                           [](const record* item) { return target_update_of(item->latest_update.subject); });
    processes.resize(add_fitting(message, message.updates, updates, unordered));
    targets.resize(add_fitting(message, message.targets, target_updates, compact_order));
    std::ranges::copy(targets, std::back_inserter(processes));
    for (record* item : processes) {
        item->transmissions_left -= item->transmissions_left > 0 ? 1 : 0;
    }
    m_has_pending_updates =
        std::ranges::any_of(m_records, [](const auto& pair) { return pair.second.transmissions_left > 0; });
    return message;
}

heartbeat member_table::reply(const heartbeat& message, std::vector<owned_partition> partitions, timestamp now) const
{
    heartbeat result{m_self.latest_update, false, {}, {}, {}, std::move(partitions), {}};
    const member& sender = message.sender.subject;
    const record* sender_record = find_record(sender.id);
    if (sender_record != nullptr && sender_record != &m_self &&
        (sender_record->latest_update.subject.state > sender.state ||
         sender_record->latest_update.subject.incarnation > sender.incarnation)) {
        result.updates.push_back(sender_record->latest_update);
    }
    const bool bootstrapping =
        message.sender.sequence <= m_timing.bootstrap_rounds && m_process_count > max_full_mesh_processes;
    if (!m_has_pending_updates && !bootstrapping) {
        return result;
    }
    std::vector<const record*> processes = pending_updates_for(message, true);
    if (bootstrapping) {
        add_round_robin(processes, message.sender.sequence);
    }
    std::vector<member_update> updates;
    std::ranges::transform(processes, std::back_inserter(updates),
                           [&](const record* item) { return with_current_age(*item, now); });
    std::vector<target_update> targets;
    std::ranges::transform(pending_updates_for(message, false), std::back_inserter(targets),
                           [](const record* item) { return target_update_of(item->latest_update.subject); });
    updates.resize(std::min(updates.size(), max_heartbeat_updates - result.updates.size()));
    add_fitting(result, result.updates, updates, unordered);
    targets.resize(std::min(targets.size(), max_heartbeat_targets));
    add_fitting(result, result.targets, targets, compact_order);
    return result;
}

// Two members with the same hash get the higher age, so that a failed one does not seem alive through the other.
std::vector<last_seen_entry> member_table::last_seen_to_send(timestamp now)
{
    std::vector<last_seen_entry> entries;
    if (!m_gossip) {
        return entries;
    }
    for (const auto& [id, item] : m_records) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - item.last_seen).count();
        if (is_process(item.latest_update.subject) && item.latest_update.subject.state != member_state::gone) {
            entries.push_back({short_id_hash(id), static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0))});
        }
    }
    if (entries.size() > max_last_seen_entries) {
        std::ranges::shuffle(entries, m_random);
        entries.resize(max_last_seen_entries);
    }
    std::ranges::sort(entries, [](const last_seen_entry& a, const last_seen_entry& b) {
        return a.id_hash != b.id_hash ? a.id_hash < b.id_hash : a.age_ms > b.age_ms;
    });
    const auto duplicates = std::ranges::unique(entries, {}, &last_seen_entry::id_hash);
    entries.erase(duplicates.begin(), duplicates.end());
    std::erase_if(entries, [](const last_seen_entry& entry) { return entry.age_ms > max_last_seen_ms; });
    return entries;
}

void member_table::apply_last_seen(std::span<const last_seen_entry> entries, timestamp now)
{
    if (entries.empty()) {
        return;
    }
    if (m_indexed_records != m_records.size()) {
        m_indexed_records = m_records.size();
        m_ids_by_hash.clear();
        for (const auto& [id, item] : m_records) {
            m_ids_by_hash.emplace(short_id_hash(id), id);
        }
    }
    for (const last_seen_entry& entry : entries) {
        const auto [first, last] = m_ids_by_hash.equal_range(entry.id_hash);
        for (auto it = first; it != last; ++it) {
            record* item = find_record(it->second);
            if (item != nullptr && item != &m_self && is_process(item->latest_update.subject)) {
                item->last_seen = std::max(item->last_seen, now - milliseconds(entry.age_ms));
            }
        }
    }
}

// Each process starts at another member, so that the replies that a new process gets differ.
void member_table::add_round_robin(std::vector<const record*>& chosen, std::uint64_t round) const
{
    std::vector<const record*> useful;
    for (const auto& [id, item] : m_records) {
        if (is_process(item.latest_update.subject) && is_worth_sending(item.latest_update.subject) &&
            item.transmissions_left == 0) {
            useful.push_back(&item);
        }
    }
    const std::uint64_t start = stable_hash(self().id) + round * max_heartbeat_updates;
    for (std::size_t n = 0; n < useful.size() && chosen.size() < max_heartbeat_updates; ++n) {
        chosen.push_back(useful[(start + n) % useful.size()]);
    }
}

std::vector<const member_table::record*> member_table::pending_updates_for(const heartbeat& message,
                                                                           bool processes) const
{
    std::set<std::string_view> already_sent{message.sender.subject.id};
    for (const target_update& target : message.targets) {
        already_sent.insert(target.id);
    }
    for (const member_update& update : message.updates) {
        already_sent.insert(update.subject.id);
    }
    std::vector<const record*> pending;
    for (const auto& [id, item] : m_records) {
        if (item.transmissions_left > 0 && is_process(item.latest_update.subject) == processes &&
            !already_sent.contains(id)) {
            pending.push_back(&item);
        }
    }
    std::ranges::stable_sort(pending, std::greater{}, [](const record* item) {
        return std::pair(item->latest_update.subject.state, item->transmissions_left);
    });
    return pending;
}

std::vector<member> member_table::next_peers(std::size_t count, timestamp now)
{
    std::erase_if(m_records, [&](const auto& pair) { return expired(pair.second, now); });
    update_contacts(now);
    std::vector<record*> contacts;
    std::vector<record*> others;
    for (auto& [id, item] : m_records) {
        if (contactable(item)) {
            (item.contact ? contacts : others).push_back(&item);
        }
    }
    std::ranges::shuffle(others, m_random);
    order_contacts(contacts, now);
    const std::size_t random_peers =
        contacts.size() > max_contacts_with_random_peer ? 0 : std::min<std::size_t>(1, others.size());
    const std::size_t from_contacts = std::min(contacts.size(), count - std::min(count, random_peers));
    std::vector<record*> chosen(contacts.begin(), contacts.begin() + static_cast<std::ptrdiff_t>(from_contacts));
    std::ranges::copy(others, std::back_inserter(chosen));
    chosen.resize(std::min(chosen.size(), count));
    std::vector<member> peers;
    for (record* item : chosen) {
        item->last_contacted = now;
        peers.push_back(with_datagram_port(*item));
    }
    return peers;
}

// The contact with the longest time since the last exchange comes first, after one contact whose reply seems to be
// lost. Retrying more than one would delay the live contacts when a whole failure domain is down.
void member_table::order_contacts(std::vector<record*>& contacts, timestamp now)
{
    std::ranges::shuffle(contacts, m_random);
    if (m_gossip) {
        return; // the oldest last-seen times are the same everywhere, so all processes would contact the same few
    }
    std::ranges::stable_sort(contacts, {},
                             [](const record* item) { return std::max(item->last_seen, item->last_contacted); });
    const auto unanswered = [&](const record* item) {
        return item->last_contacted > item->last_seen && now - item->last_contacted >= unanswered_retry_interval &&
               now - item->last_seen < m_timing.presumed_down;
    };
    const auto it = std::ranges::find_if(contacts, unanswered);
    if (it != contacts.end()) {
        std::rotate(contacts.begin(), it, it + 1);
    }
}

member_liveness member_table::liveness(std::string_view id, timestamp now) const
{
    const record* item = find_record(id);
    return item == nullptr ? member_liveness::presumed_down : liveness(*item, now);
}

std::optional<member> member_table::find(std::string_view id) const
{
    const record* item = find_record(id);
    return item == nullptr ? std::nullopt : std::optional(item->latest_update.subject);
}

std::vector<member> member_table::members(member_role role) const
{
    std::vector<member> result;
    const auto add_if = [&](const member& item) {
        if (item.role == role && item.state != member_state::gone) {
            result.push_back(item);
        }
    };
    add_if(self());
    for (const auto& [id, item] : m_records) {
        add_if(item.latest_update.subject);
    }
    std::ranges::sort(result, {}, &member::id);
    return result;
}

std::vector<member> member_table::usable(member_role role, timestamp now) const
{
    std::vector<member> result = members(role);
    std::erase_if(result, [&](const member& item) {
        return item.state != member_state::alive || liveness(item.id, now) == member_liveness::presumed_down;
    });
    return result;
}

bool member_table::excluded(std::string_view target) const
{
    const record* item = find_record(target);
    return item != nullptr && item->latest_update.subject.state != member_state::alive;
}

std::optional<bool> member_table::listed(std::string_view id) const
{
    return m_list_received ? std::optional(m_listed.contains(id)) : std::nullopt;
}

member_table::record* member_table::find_record(std::string_view id)
{
    if (id == self().id) {
        return &m_self;
    }
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second;
}

const member_table::record* member_table::find_record(std::string_view id) const
{
    return const_cast<member_table*>(this)->find_record(id);
}

void member_table::apply(const member_update& update, timestamp now)
{
    if (update.subject.id == self().id) {
        return apply_to_self(update, now);
    }
    record* item = find_record(update.subject.id);
    if (item == nullptr) {
        record& added = m_records[update.subject.id];
        start_incarnation(added, update, now);
        return queue_update(added);
    }
    if (update.subject.incarnation > item->latest_update.subject.incarnation) {
        // The instance list has no incarnations, so the first incarnation of a listed process is no change.
        const bool known_from_list = item->latest_update.subject.incarnation == 0 && is_process(update.subject);
        start_incarnation(*item, update, now);
        return known_from_list && update.subject.state == member_state::alive ? void() : queue_update(*item);
    }
    if (update.subject.incarnation < item->latest_update.subject.incarnation) {
        return;
    }
    raise_state(*item, update.subject.state, now);
    item->last_seen = std::max(item->last_seen, now - milliseconds(update.age_ms));
    if (update.sequence > item->latest_update.sequence) {
        const member_state state = item->latest_update.subject.state;
        item->latest_update = update;
        item->latest_update.subject.state = state;
    }
}

void member_table::apply_to_self(const member_update& update, timestamp now)
{
    member& own = m_self.latest_update.subject;
    if (update.subject.incarnation > own.incarnation) {
        m_superseded = true;
        return;
    }
    if (update.subject.incarnation < own.incarnation) {
        return;
    }
    if (update.subject.state == member_state::leaving) {
        return raise_state(m_self, member_state::leaving, now);
    }
    // Others regard this process as gone. A new incarnation refutes that.
    if (update.subject.state == member_state::gone) {
        ++own.incarnation;
        queue_update(m_self);
    }
}

void member_table::start_incarnation(record& item, const member_update& update, timestamp now)
{
    item.latest_update = update;
    item.last_seen = now - milliseconds(update.age_ms);
    item.incarnation_since = now;
    item.missing = false;
    item.consecutive_absences = 0;
    item.state_since = now;
    ++m_changes;
}

member_update member_table::with_current_age(const record& item, timestamp now)
{
    constexpr std::int64_t max_age = std::numeric_limits<std::uint32_t>::max();
    const auto age = std::chrono::duration_cast<milliseconds>(now - item.last_seen).count();
    member_update update = item.latest_update;
    update.age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, max_age));
    return update;
}

void member_table::raise_state(record& item, member_state state, timestamp now)
{
    if (state <= item.latest_update.subject.state) {
        return;
    }
    item.latest_update.subject.state = state;
    item.state_since = now;
    ++m_changes;
    queue_update(item);
}

void member_table::merge_row(const listed_instance& row, timestamp now)
{
    record* item = find_record(row.id);
    if (item == nullptr) {
        member subject{row.id, 0, member_state::alive, row.role, row.address, row.failure_domain};
        subject.capacity = row.capacity;
        item = &m_records[row.id];
        start_incarnation(*item, {subject, 0}, now);
    }
    member& subject = item->latest_update.subject;
    item->missing = false;
    item->consecutive_absences = 0;
    if (subject.role == member_role::target && subject.state == member_state::gone && !row.leaving) {
        member returned = subject;
        ++returned.incarnation;
        returned.state = member_state::alive;
        start_incarnation(*item, {returned, 0}, now);
        queue_update(*item);
    }
    if (row.leaving) {
        merge_leaving(*item, now);
    }
    item->listed_leaving = row.leaving;
    item->was_listed = true;
}

// The list may still show an earlier incarnation as leaving. It means the current one if it changed to leaving while
// the current one was known, or if it still shows leaving after `max_list_lag`.
void member_table::merge_leaving(record& item, timestamp now)
{
    const bool changed = item.was_listed && !item.listed_leaving;
    const bool first_of_target = !item.was_listed && !is_process(item.latest_update.subject);
    if (changed || first_of_target || now - item.incarnation_since >= m_timing.max_list_lag) {
        raise_state(item, member_state::leaving, now);
    }
}

void member_table::merge_absence(record& item, timestamp now)
{
    if (item.latest_update.subject.state == member_state::gone) {
        return;
    }
    if (!is_process(item.latest_update.subject)) {
        item.consecutive_absences += item.was_listed ? 1 : 0;
        if (item.consecutive_absences >= max_target_absences) {
            raise_state(item, member_state::gone, now);
        }
        return;
    }
    if (!item.was_listed && now - item.incarnation_since < m_timing.max_list_lag) {
        return;
    }
    const bool unreachable = item.missing && liveness(item, now) != member_liveness::reachable;
    item.missing = true;
    if (unreachable) {
        raise_state(item, member_state::gone, now);
    }
}

bool member_table::expired(const record& item, timestamp now) const
{
    const member& subject = item.latest_update.subject;
    const bool old = now - item.state_since >= m_timing.gone_retention;
    if (subject.state == member_state::gone) {
        return old;
    }
    const bool in_use = is_process(subject) || item.was_listed || m_targets.contains(subject.id);
    return !in_use && (old || subject.state == member_state::alive);
}

void member_table::queue_update(record& item)
{
    m_has_pending_updates = true;
    item.transmissions_left = static_cast<std::size_t>(std::bit_width(m_process_count + 1));
}

void member_table::update_contacts(timestamp now)
{
    m_process_count = 1 + static_cast<std::size_t>(std::ranges::count_if(m_records, [](const auto& pair) {
                          const member& subject = pair.second.latest_update.subject;
                          return is_process(subject) && subject.state != member_state::gone;
                      }));
    const bool all = m_process_count <= max_full_mesh_processes;
    for (auto& [id, item] : m_records) {
        const bool contact = is_process(item.latest_update.subject) && (all || item.missing || m_contacts.contains(id));
        if (contact && !item.contact) {
            item.contact_since = now;
        }
        item.contact = contact;
    }
}

// Pending updates come first, gone and leaving members at the front, then others in round-robin order up to
// `min_count`.
std::vector<member_table::record*> member_table::select_updates(bool processes, std::size_t limit,
                                                                std::size_t min_count, std::string& last_sent)
{
    std::vector<record*> chosen;
    for (auto& [id, item] : m_records) {
        if (item.transmissions_left > 0 && is_process(item.latest_update.subject) == processes) {
            chosen.push_back(&item);
        }
    }
    std::ranges::shuffle(chosen, m_random);
    std::ranges::stable_sort(chosen, std::greater{}, [](const record* item) {
        return std::pair(item->latest_update.subject.state, item->transmissions_left);
    });
    chosen.resize(std::min(chosen.size(), limit));
    auto it = m_records.upper_bound(last_sent);
    for (std::size_t n = 0; n < m_records.size() && chosen.size() < min_count; ++n, ++it) {
        it = it == m_records.end() ? m_records.begin() : it;
        const bool wanted = is_process(it->second.latest_update.subject) == processes &&
                            is_worth_sending(it->second.latest_update.subject);
        if (wanted && std::ranges::find(chosen, &it->second) == chosen.end()) {
            chosen.push_back(&it->second);
            last_sent = it->first;
        }
    }
    return chosen;
}

bool member_table::contactable(const record& item) const
{
    const member& subject = item.latest_update.subject;
    return is_process(subject) && subject.state != member_state::gone &&
           with_datagram_port(item).address.datagram_port != 0;
}

member member_table::with_datagram_port(const record& item) const
{
    member result = item.latest_update.subject;
    if (result.address.datagram_port == 0) {
        result.address.datagram_port = m_datagram_port;
    }
    return result;
}

member_liveness member_table::liveness(const record& item, timestamp now) const
{
    if (&item == &m_self) {
        return member_liveness::reachable;
    }
    if (item.latest_update.subject.state == member_state::gone) {
        return member_liveness::presumed_down;
    }
    if (!is_process(item.latest_update.subject)) {
        return member_liveness::reachable;
    }
    const auto scale = static_cast<std::int64_t>(
        item.contact ? 1 : 1 + m_process_count * timeout_scale_numerator / timeout_scale_denominator);
    const std::int64_t percent = scale * (m_gossip && item.contact ? gossip_timeout_percent : 100);
    const timestamp silence = now - (item.contact ? std::max(item.last_seen, item.contact_since) : item.last_seen);
    if (silence >= m_timing.presumed_down * percent / 100) {
        return member_liveness::presumed_down;
    }
    return silence >= m_timing.suspicion * percent / 100 ? member_liveness::suspected : member_liveness::reachable;
}

} // namespace lagoonferry
