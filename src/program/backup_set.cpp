#include "program/backup_set.h"

#include <algorithm>
#include <iterator>

namespace lagoonferry {

namespace {

constexpr std::size_t max_batch_bytes = std::size_t{512} * 1024;

/// Interval at which a backup that gets no new items is sent the flushed sequence, up to which it may drop items.
constexpr timestamp flush_report_interval{std::chrono::seconds{5}};

/// Factor of the resend interval for backups that are presumed down.
constexpr int resend_factor_down = 5;

std::uint64_t sequence_of(const unflushed_item& it)
{
    return it.item.sequence;
}

bool contains(const std::vector<backup_ref>& list, const backup_ref& backup)
{
    return std::ranges::find(list, backup) != list.end();
}

bool contains_id(const std::vector<backup_ref>& list, const std::string& id)
{
    return std::ranges::find(list, id, &backup_ref::id) != list.end();
}

/// Returns the last sequence that was appended at or before `limit`.
std::uint64_t last_appended_before(const journal& log, timestamp limit)
{
    const auto& items = log.log();
    const auto it = std::ranges::upper_bound(items, limit, {}, &unflushed_item::appended);
    if (it != items.begin()) {
        return std::prev(it)->item.sequence;
    }
    return items.empty() ? log.last() : items.front().item.sequence - 1;
}

} // namespace

backup_set::backup_set(const owner_settings& settings) : m_settings(&settings) {}

void backup_set::set_peers(std::vector<peer_state> peers)
{
    m_peers = std::move(peers);
}

void backup_set::exclude(const std::optional<backup_ref>& previous_owner, timestamp until)
{
    m_excluded = previous_owner;
    m_excluded_until = until;
}

bool backup_set::is_eligible(const peer_state& peer, timestamp now) const
{
    if (m_excluded && now < m_excluded_until && peer.instance.id == m_excluded->id &&
        peer.incarnation == m_excluded->incarnation) {
        return false;
    }
    return peer.listed && !peer.presumed_down && !peer.leaving && peer.instance.id != m_settings->self.id;
}

std::vector<backup_ref> backup_set::choose(const std::vector<backup_ref>& current, timestamp now) const
{
    std::vector<backup_ref> chosen;
    std::vector<std::string> domains;
    const auto add = [&](const peer_state& it) {
        chosen.push_back({it.instance.id, it.instance.address, it.incarnation});
        domains.push_back(it.failure_domain);
    };
    for (const backup_ref& it : current) {
        const peer_state* peer = find_peer(it);
        if (peer != nullptr && is_eligible(*peer, now) && chosen.size() < m_settings->backups) {
            add(*peer);
        }
    }
    // Pass 1 takes unused failure domains, pass 2 all domains but the owner's own, pass 3 any: a backup in a used
    // domain is better than none.
    for (const int pass : {1, 2, 3}) {
        for (const peer_state& it : m_peers) {
            const bool own_domain = it.failure_domain == m_settings->failure_domain;
            const bool used_domain = std::ranges::count(domains, it.failure_domain) > 0;
            const bool wanted = pass == 3 || (!own_domain && (pass == 2 || !used_domain));
            if (wanted && is_eligible(it, now) && chosen.size() < m_settings->backups &&
                !contains_id(chosen, it.instance.id)) {
                add(it);
            }
        }
    }
    return chosen;
}

void backup_set::start(std::uint64_t epoch, std::vector<backup_ref> backups, std::uint64_t flushed)
{
    m_active = true;
    m_epoch = epoch;
    m_stored = flushed;
    m_backups = std::move(backups);
    m_streams.clear();
    std::ranges::for_each(m_backups, [this](const backup_ref& it) { add_stream(it); });
}

void backup_set::stop()
{
    m_active = false;
    m_streams.clear();
    m_backups.clear();
}

const peer_state* backup_set::find_peer(const backup_ref& backup) const
{
    const auto it = std::ranges::find_if(m_peers, [&backup](const peer_state& peer) {
        return peer.instance.id == backup.id && peer.incarnation == backup.incarnation;
    });
    return it == m_peers.end() ? nullptr : &*it;
}

backup_set::stream_state* backup_set::find_stream(const backup_ref& backup)
{
    const auto it = std::ranges::find(m_streams, backup, &stream_state::backup);
    return it == m_streams.end() ? nullptr : &*it;
}

const backup_set::stream_state* backup_set::find_stream(const backup_ref& backup) const
{
    const auto it = std::ranges::find(m_streams, backup, &stream_state::backup);
    return it == m_streams.end() ? nullptr : &*it;
}

void backup_set::add_stream(const backup_ref& backup)
{
    stream_state added;
    added.backup = backup;
    added.stream = ++m_last_stream;
    m_streams.push_back(std::move(added));
}

bool backup_set::presumed_up(const stream_state& it) const
{
    const peer_state* peer = find_peer(it.backup);
    return !it.restarted && peer != nullptr && peer->listed && !peer->presumed_down;
}

bool backup_set::is_listed(const stream_state& it) const
{
    // A takeover does not wait for an instance that is no longer listed, so its acknowledgements do not count.
    const peer_state* peer = find_peer(it.backup);
    return !it.restarted && peer != nullptr && peer->listed;
}

bool backup_set::handle(const replicate_reply& reply, timestamp now)
{
    if (!m_active) {
        return true;
    }
    if (reply.epoch > m_epoch) {
        return false;
    }
    for (stream_state& it : m_streams) {
        if (it.backup.id != reply.backup) {
            continue;
        }
        if (it.backup.incarnation != reply.incarnation) {
            it.restarted = it.restarted || reply.incarnation > it.backup.incarnation;
            continue;
        }
        if (it.stream != reply.stream || reply.epoch != m_epoch) {
            continue;
        }
        it.acknowledged = std::max(it.acknowledged, reply.last);
        it.started = reply.status != replicate_status::gap || reply.last > 0;
        it.in_flight = it.in_flight && it.acknowledged < it.batch_end;
        if (reply.status != replicate_status::accepted) {
            // Resends only at the resend time, so that a backup that keeps refusing does not cause a busy loop.
            it.in_flight = true;
            it.sent = now;
        }
    }
    return true;
}

std::uint64_t backup_set::acknowledged_by(const std::vector<backup_ref>& backups, const journal& log,
                                          timestamp now) const
{
    std::optional<std::uint64_t> by_all;
    std::uint64_t by_any = 0;
    for (const backup_ref& it : backups) {
        const stream_state* stream = find_stream(it);
        if (stream == nullptr || !is_listed(*stream)) {
            continue;
        }
        by_any = std::max(by_any, stream->acknowledged);
        if (presumed_up(*stream)) {
            by_all = std::min(by_all.value_or(stream->acknowledged), stream->acknowledged);
        }
    }
    const std::uint64_t by_any_after_timeout =
        std::min(by_any, last_appended_before(log, now - m_settings->all_backups_timeout));
    return std::max(by_all.value_or(by_any), by_any_after_timeout);
}

std::uint64_t backup_set::stored(const journal& log, timestamp now)
{
    std::uint64_t stored = acknowledged_by(log.head().backups, log, now);
    if (const auto& change = log.pending_backups()) {
        const std::uint64_t next = acknowledged_by(*change, log, now);
        stored = m_settings->faults.count_new_backups_only ? next : std::min(stored, next);
    }
    m_stored = std::max({m_stored, stored, log.flushed()});
    return m_stored;
}

void backup_set::poll(journal& log, timestamp now, std::vector<action>& out)
{
    if (!m_active) {
        return;
    }
    update_list(log, now, out);
    for (stream_state& it : m_streams) {
        if (is_due(it, log, now)) {
            send(it, log, now, out);
        }
    }
}

void backup_set::update_list(journal& log, timestamp now, std::vector<action>& out)
{
    if (log.pending_backups()) {
        return;
    }
    if (m_backups != log.head().backups) {
        m_backups = log.head().backups;
        for (const stream_state& it : m_streams) {
            if (!contains(m_backups, it.backup)) {
                discard(it, m_epoch, log.last(), out);
            }
        }
        update_streams(m_backups);
    }
    if (log.phase() != journal_phase::ready) {
        return;
    }
    const std::vector<backup_ref> wanted = choose(m_backups, now);
    const bool same = wanted.size() == m_backups.size() &&
                      std::ranges::all_of(wanted, [this](const backup_ref& it) { return contains(m_backups, it); });
    if (same || wanted.empty()) {
        update_streams(m_backups);
        return;
    }
    update_streams(wanted);
    const std::uint64_t needed = stored(log, now);
    const bool caught_up = std::ranges::all_of(wanted, [&](const backup_ref& it) {
        const stream_state* stream = find_stream(it);
        return stream->started && !stream->restarted && stream->acknowledged >= needed;
    });
    if (caught_up) {
        log.change_backups(wanted);
    }
}

void backup_set::update_streams(const std::vector<backup_ref>& wanted)
{
    std::erase_if(m_streams, [&](const stream_state& it) {
        return !contains(wanted, it.backup) && !contains(m_backups, it.backup);
    });
    for (const backup_ref& it : wanted) {
        if (find_stream(it) == nullptr) {
            add_stream(it);
        }
    }
}

bool backup_set::is_due(const stream_state& it, const journal& log, timestamp now) const
{
    if (it.restarted || (it.in_flight && now < resend_time(it))) {
        return false;
    }
    const bool reports_flush = it.reported_flushed < log.flushed() && now >= it.sent + flush_report_interval;
    return it.in_flight || !it.started || it.acknowledged < log.last() || reports_flush;
}

timestamp backup_set::resend_time(const stream_state& it) const
{
    return it.sent + m_settings->resend_interval * (presumed_up(it) ? 1 : resend_factor_down);
}

void backup_set::send(stream_state& it, const journal& log, timestamp now, std::vector<action>& out)
{
    if (it.started && it.acknowledged < log.flushed()) {
        // The items that the replica lacks are no longer in the log, so it is reset with a new stream.
        it.started = false;
        it.stream = ++m_last_stream;
    }
    replicate_request message{.partition = m_settings->partition,
                              .incarnation = it.backup.incarnation,
                              .epoch = m_epoch,
                              .stream = it.stream,
                              .reset = !it.started,
                              .previous = it.started ? it.acknowledged : log.flushed(),
                              .flushed = log.flushed(),
                              .items = {}};
    std::size_t bytes = 0;
    it.batch_end = message.previous;
    const auto& items = log.log();
    auto next = std::ranges::upper_bound(items, message.previous, {}, sequence_of);
    for (; next != items.end(); ++next) {
        bytes += item_bytes(next->item);
        if (!message.items.empty() && bytes > max_batch_bytes) {
            break;
        }
        message.items.push_back(next->item);
        it.batch_end = next->item.sequence;
    }
    it.in_flight = true;
    it.sent = now;
    it.reported_flushed = message.flushed;
    out.emplace_back(send_replicate{{it.backup.id, it.backup.address}, std::move(message)});
}

void backup_set::discard(const stream_state& it, std::uint64_t epoch, std::uint64_t flushed, std::vector<action>& out)
{
    replicate_request message{.partition = m_settings->partition,
                              .incarnation = it.backup.incarnation,
                              .epoch = epoch,
                              .stream = ++m_last_stream,
                              .reset = true,
                              .previous = flushed,
                              .flushed = flushed,
                              .items = {}};
    out.emplace_back(send_replicate{{it.backup.id, it.backup.address}, std::move(message)});
}

void backup_set::discard_replicas(std::uint64_t epoch, std::uint64_t flushed, std::vector<action>& out)
{
    for (const stream_state& it : m_streams) {
        discard(it, epoch, flushed, out);
    }
}

void backup_set::add_wakes(const journal& log, earliest_wakeup& wakes) const
{
    if (!m_active) {
        return;
    }
    for (const stream_state& it : m_streams) {
        if (it.in_flight && !it.restarted) {
            wakes.add(resend_time(it));
        }
    }
    const auto& items = log.log();
    const auto it = std::ranges::upper_bound(items, m_stored, {}, sequence_of);
    if (it != items.end()) {
        wakes.add(it->appended + m_settings->all_backups_timeout);
    }
}

} // namespace lagoonferry
