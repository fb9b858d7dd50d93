#include "journal/journal.h"

#include "util/digest.h"
#include "util/ensure.h"

#include <algorithm>
#include <iterator>

namespace lagoonferry {

namespace {

std::string snapshot_prefix(std::uint32_t partition)
{
    return "snapshot/" + std::to_string(partition) + "/";
}

std::string history_prefix(std::uint32_t partition)
{
    return "history/" + std::to_string(partition) + "/";
}

/// Returns the epoch in a key `<prefix><epoch>-<sequence>`, or nothing for another key.
std::optional<std::uint64_t> key_epoch(const std::string& key, const std::string& prefix)
{
    const std::size_t dash = key.rfind('-');
    if (!key.starts_with(prefix) || dash == std::string::npos || dash <= prefix.size()) {
        return std::nullopt;
    }
    const std::string digits = key.substr(prefix.size(), dash - prefix.size());
    if (digits.size() > 19 || !std::ranges::all_of(digits, [](char c) { return c >= '0' && c <= '9'; })) {
        return std::nullopt;
    }
    return std::stoull(digits);
}

} // namespace

journal::journal(std::uint32_t partition, instance_ref self, std::uint64_t incarnation, std::string writer,
                 const journal_settings& settings)
    : m_partition(partition), m_self(std::move(self)), m_incarnation(incarnation), m_settings(&settings),
      m_head_store(partition, std::move(writer), m_outbox, settings), m_segments(partition, m_outbox, settings),
      m_eraser(m_outbox, settings), m_load_channel(m_outbox, settings), m_reader(m_outbox, settings)
{
}

void journal::start_takeover(keep_texts keep)
{
    const bool startable =
        m_phase == journal_phase::idle || m_phase == journal_phase::handed_over || m_phase == journal_phase::lost;
    ensure(startable, "a takeover requires the phase idle, handed_over or lost");
    m_segments = segment_set(m_partition, m_outbox, *m_settings);
    m_eraser.clear();
    m_load_channel = kv_channel(m_outbox, *m_settings);
    m_reader = segment_reader(m_outbox, *m_settings);
    m_keep_texts = std::move(keep);
    m_image = {};
    m_loaded_texts.clear();
    m_log.clear();
    m_log_bytes = 0;
    m_snapshot.reset();
    m_current_snapshot_key.clear();
    m_current_snapshot_version = 0;
    m_pending_backups.reset();
    m_release_allowed = false;
    m_epoch = 0;
    m_confirm_sequence = 0;
    m_replicated_sequence = 0;
    m_phase = journal_phase::reading;
    m_head_store.load();
}

void journal::finish_takeover(std::vector<log_item> recovered, std::vector<entry> closing_entries,
                              std::vector<backup_ref> backups, timestamp now)
{
    ensure(m_phase == journal_phase::recovering, "finish_takeover requires the phase recovering");
    m_loaded_texts.clear();
    m_loaded_texts.shrink_to_fit();
    for (log_item& it : recovered) {
        if (it.text) {
            m_segments.add(it.sequence, it.text, now);
        }
        m_last = std::max(m_last, it.sequence);
        m_log_bytes += item_bytes(it);
        m_log.push_back({std::move(it), now});
    }
    m_last_recovered = m_last;
    for (entry& it : closing_entries) {
        log_item item{++m_last, std::move(it), nullptr};
        m_log_bytes += item_bytes(item);
        m_log.push_back({std::move(item), now});
    }
    m_pending_backups = std::move(backups);
    m_phase = journal_phase::publishing;
}

std::uint64_t journal::append(entry content, text_ref text, durability required, timestamp now)
{
    const bool accepts_entries =
        m_phase == journal_phase::ready || (m_phase == journal_phase::handing_over && !m_release_allowed);
    ensure(accepts_entries, "append requires the phase ready, or handing_over before finish_handover");
    ++m_last;
    if (text) {
        m_segments.add(m_last, text, now);
    }
    if (required == durability::confirmed) {
        m_confirm_sequence = m_last;
    }
    log_item item{m_last, std::move(content), std::move(text)};
    m_log_bytes += item_bytes(item);
    m_log.push_back({std::move(item), now});
    return m_last;
}

void journal::change_backups(std::vector<backup_ref> backups)
{
    ensure(m_phase == journal_phase::ready && !m_pending_backups,
           "a change of backups requires the phase ready and no pending change");
    m_pending_backups = std::move(backups);
}

void journal::start_handover(instance_ref successor)
{
    ensure(m_phase == journal_phase::ready, "a handover requires the phase ready");
    m_successor = std::move(successor);
    m_phase = journal_phase::handing_over;
}

void journal::finish_handover()
{
    ensure(m_phase == journal_phase::handing_over, "finish_handover requires the phase handing_over");
    m_release_allowed = true;
}

void journal::stop()
{
    m_phase = journal_phase::lost;
}

void journal::remove_program(std::string_view program)
{
    m_image.remove_program(program);
    m_segments.drop([program](const segment_text& it) { return it.program == program; });
}

void journal::expire_result(const std::string& program, const std::string& key, const std::string& call)
{
    m_image.expire_result(program, key);
    m_segments.drop(
        [&call](const segment_text& it) { return it.number == 0 && std::get<result_text>(*it.text).call == call; });
}

void journal::handle(const kv_reply& reply, timestamp now)
{
    on_head(m_head_store.handle(reply, now));
    m_segments.handle(reply, now);
    if (m_snapshot) {
        m_snapshot->handle(reply, now);
    }
    m_eraser.handle(reply, now);
    m_reader.handle(reply, now);
    if (m_load_channel.accept(reply, now) && m_phase == journal_phase::loading) {
        handle_load(reply, now);
    }
    poll(now);
}

void journal::poll(timestamp now)
{
    if (stopped()) {
        return;
    }
    on_head(m_head_store.poll(now));
    m_reader.poll(now);
    if (m_phase == journal_phase::loading) {
        load_next(now);
    }
    // Without backups, a confirmed entry waits for the segment with the texts up to it, so that segment is not delayed.
    const bool confirmation_blocked = m_confirm_sequence > m_durable && writable_sequence() < m_confirm_sequence;
    const bool immediate =
        m_phase == journal_phase::publishing || m_phase == journal_phase::handing_over || confirmation_blocked;
    m_segments.poll(m_epoch, immediate, now);
    start_snapshot();
    if (m_snapshot) {
        m_snapshot->poll(now);
    }
    if (m_head_store.idle() && head_write_due(now)) {
        m_head_store.write(next_head());
    }
    on_head(m_head_store.poll(now));
    if (m_phase == journal_phase::ready) {
        m_eraser.poll(now);
    }
}

void journal::on_head(head_event event)
{
    if (stopped()) {
        return;
    }
    switch (event) {
    case head_event::none:
        return;
    case head_event::loaded:
        on_loaded();
        return;
    case head_event::committed:
        on_committed();
        return;
    case head_event::retry:
        if (m_phase == journal_phase::sealing) {
            seal();
        }
        return;
    case head_event::replaced:
        on_replaced();
        return;
    }
}

void journal::on_loaded()
{
    if (m_phase == journal_phase::reading) {
        m_phase = journal_phase::sealing;
        m_read_epoch = head().epoch;
        seal();
        return;
    }
    // The head was read again because a key that it names was missing: another takeover may have replaced the head.
    if (m_phase == journal_phase::loading && head().epoch != m_epoch) {
        m_phase = journal_phase::lost;
    }
}

void journal::seal()
{
    head_record next = head();
    if (next.owner.id != m_self.id) {
        m_previous_owner = backup_ref{next.owner.id, next.owner.address, next.owner_incarnation};
    }
    next.epoch += 1;
    next.owner = m_self;
    next.owner_incarnation = m_incarnation;
    m_head_store.write(std::move(next));
}

void journal::on_replaced()
{
    // An append of the current owner changes only the version. A higher epoch means that another takeover has won.
    if (m_phase == journal_phase::sealing && head().epoch == m_read_epoch) {
        seal();
        return;
    }
    m_phase = journal_phase::lost;
}

void journal::on_committed()
{
    const head_record& current = head();
    if (m_phase == journal_phase::sealing) {
        start_loading();
        return;
    }
    apply_durable(current.sequence);
    for (auto& [key, version] : m_segments.committed(current.segments)) {
        m_eraser.erase(std::move(key), version);
    }
    replace_current_snapshot();
    trim_log();
    if (m_phase == journal_phase::publishing && current.ready_epoch == m_epoch) {
        m_phase = journal_phase::ready;
        sweep_orphans();
    }
    if (m_phase != journal_phase::publishing && m_pending_backups && current.backups == *m_pending_backups) {
        m_pending_backups.reset();
    }
    if (current.epoch != m_epoch) {
        m_phase = journal_phase::handed_over;
    }
}

void journal::replace_current_snapshot()
{
    if (!m_snapshot || head().snapshot != m_snapshot->key()) {
        return;
    }
    if (!m_current_snapshot_key.empty()) {
        m_eraser.erase(std::move(m_current_snapshot_key), m_current_snapshot_version);
    }
    m_current_snapshot_key = m_snapshot->key();
    m_current_snapshot_version = m_snapshot->version().value_or(0);
    m_snapshot.reset();
}

void journal::apply_durable(std::uint64_t sequence)
{
    for (auto it = first_after(m_durable); it != m_log.end() && it->item.sequence <= sequence; ++it) {
        m_image.apply(it->item.content);
        drop_ended(it->item.content);
    }
    m_durable = std::max(m_durable, sequence);
    update_tail_bytes();
}

void journal::update_tail_bytes()
{
    m_tail_bytes = 0;
    for (const entry& it : head().tail) {
        m_tail_bytes += entry_bytes(it);
    }
}

void journal::drop_ended(const entry& content)
{
    const auto* ended = std::get_if<end_entry>(&content);
    if (ended == nullptr) {
        return;
    }
    m_segments.drop([ended](const segment_text& it) { return it.number != 0 && it.program == ended->program; });
}

void journal::trim_log()
{
    const std::uint64_t flushed_sequence = flushed();
    while (!m_log.empty() && m_log.front().item.sequence <= flushed_sequence) {
        m_log_bytes -= item_bytes(m_log.front().item);
        m_log.pop_front();
    }
}

void journal::start_snapshot()
{
    const bool writes = m_phase == journal_phase::publishing || m_phase == journal_phase::ready ||
                        m_phase == journal_phase::handing_over;
    if (!writes || m_snapshot || m_tail_bytes <= m_settings->max_tail_bytes) {
        return;
    }
    std::string value = m_image.encode();
    m_snapshot_digest = digest_hex(value);
    m_snapshot_sequence = m_durable;
    std::string key =
        snapshot_prefix(m_partition) + std::to_string(m_epoch) + "-" + std::to_string(m_snapshot_sequence);
    m_snapshot.emplace(std::move(key), std::move(value), m_outbox, *m_settings);
}

void journal::sweep_orphans()
{
    const auto sweep = [this](const std::string& prefix) {
        m_eraser.sweep(prefix, [this, prefix](const std::string& key) {
            const auto epoch = key_epoch(key, prefix);
            const bool named = key == head().snapshot || std::ranges::count(head().segments, key) > 0;
            return epoch && *epoch < m_epoch && !named;
        });
    };
    sweep(snapshot_prefix(m_partition));
    sweep(history_prefix(m_partition));
}

std::uint64_t journal::flushed() const
{
    return std::min(m_durable, m_segments.flushed(m_last));
}

bool journal::stalled(timestamp now, timestamp limit) const
{
    return !m_head_store.idle() && now >= m_head_store.write_started() + limit;
}

std::deque<unflushed_item>::const_iterator journal::first_after(std::uint64_t sequence) const
{
    return std::ranges::upper_bound(m_log, sequence, {}, [](const unflushed_item& it) { return it.item.sequence; });
}

std::optional<timestamp> journal::lazy_deadline() const
{
    if (flushes_everything()) {
        return std::nullopt;
    }
    const auto first = first_after(m_durable);
    if (first == m_log.end()) {
        return std::nullopt;
    }
    // Waiting for a segment that is being written saves one head write. The wait is bounded in case that write is slow.
    return first->appended + m_settings->lazy_delay * (m_segments.writing() ? 2 : 1);
}

bool journal::stopped() const
{
    return m_phase == journal_phase::idle || m_phase == journal_phase::lost || m_phase == journal_phase::handed_over;
}

bool journal::flushes_everything() const
{
    return m_phase == journal_phase::publishing || (m_phase == journal_phase::handing_over && m_release_allowed);
}

std::uint64_t journal::writable_sequence() const
{
    const std::optional<std::uint64_t> unwritten = m_segments.first_unwritten(m_replicated_sequence);
    return unwritten ? *unwritten - 1 : m_last;
}

bool journal::has_headroom() const
{
    return m_tail_bytes < m_settings->max_head_bytes || (m_snapshot && m_snapshot->version());
}

bool journal::head_write_due(timestamp now) const
{
    if (flushes_everything()) {
        return has_headroom() && (m_segments.waits_for_head() || m_segments.complete());
    }
    if (m_phase != journal_phase::ready && m_phase != journal_phase::handing_over) {
        return false;
    }
    if (m_segments.waits_for_head() || m_pending_backups) {
        return true;
    }
    const std::optional<timestamp> due = lazy_deadline();
    const bool entries_due =
        writable_sequence() > m_durable && (m_confirm_sequence > m_durable || (due && now >= *due));
    return entries_due && has_headroom();
}

head_record journal::next_head() const
{
    head_record next = head();
    replace_snapshot(next);
    add_entries(next);
    next.segments = m_segments.next_keys();
    change_ownership(next);
    return next;
}

void journal::replace_snapshot(head_record& next) const
{
    if (!m_snapshot || !m_snapshot->version()) {
        return;
    }
    const std::uint64_t covered = m_snapshot_sequence - snapshot_sequence(next);
    next.tail.erase(next.tail.begin(), next.tail.begin() + static_cast<std::ptrdiff_t>(covered));
    next.snapshot = m_snapshot->key();
    next.snapshot_digest = m_snapshot_digest;
}

void journal::add_entries(head_record& next) const
{
    const std::uint64_t limit = writable_sequence();
    std::size_t bytes = 0;
    for (const entry& it : next.tail) {
        bytes += entry_bytes(it);
    }
    for (auto it = first_after(m_durable); it != m_log.end() && it->item.sequence <= limit; ++it) {
        const bool is_closing_entry = m_phase == journal_phase::publishing && it->item.sequence > m_last_recovered;
        if (is_closing_entry ? !m_segments.complete() : bytes >= m_settings->max_head_bytes) {
            return;
        }
        bytes += entry_bytes(it->item.content);
        next.tail.push_back(it->item.content);
        next.sequence = it->item.sequence;
    }
}

void journal::change_ownership(head_record& next) const
{
    const bool complete = next.sequence == m_last && m_segments.complete();
    if (m_phase == journal_phase::publishing && !complete) {
        return;
    }
    if (m_phase == journal_phase::publishing) {
        next.ready_epoch = m_epoch;
    }
    if (m_phase == journal_phase::handing_over && m_release_allowed && complete) {
        next.epoch = m_epoch + 1;
        next.ready_epoch = next.epoch;
        next.owner = m_successor;
        next.owner_incarnation = 0;
        next.backups.clear();
        return;
    }
    if (m_pending_backups) {
        next.backups = *m_pending_backups;
    }
}

void journal::add_wakes(earliest_wakeup& wakes) const
{
    if (stopped()) {
        return;
    }
    if (!m_head_store.idle()) {
        wakes.add(m_head_store.next_wake());
    }
    if (m_phase == journal_phase::loading) {
        wakes.add(m_load_channel.next_wake());
    }
    wakes.add(m_segments.next_wake());
    wakes.add(m_reader.next_wake());
    if (m_snapshot && !m_snapshot->version()) {
        wakes.add(m_snapshot->next_wake());
    }
    if (m_phase == journal_phase::ready) {
        wakes.add(m_eraser.next_wake());
    }
    wakes.add(lazy_deadline());
}

} // namespace lagoonferry
