#pragma once

#include "journal/head_store.h"
#include "journal/immutable_write.h"
#include "journal/key_eraser.h"
#include "journal/kv_outbox.h"
#include "journal/log_item.h"
#include "journal/partition_image.h"
#include "journal/segment_reader.h"
#include "journal/segment_set.h"
#include "util/earliest_wakeup.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// When an appended entry is written.
enum class durability {
    lazy,      ///< in a batch with other entries, after `journal_settings::lazy_delay`
    confirmed, ///< as soon as no other write is in flight
};

enum class journal_phase {
    idle,         ///< no takeover has started
    reading,      ///< a takeover reads the head
    sealing,      ///< a takeover writes the head with the next epoch
    loading,      ///< a takeover reads snapshot and segments
    recovering,   ///< a takeover waits for `finish_takeover`
    publishing,   ///< a takeover writes what it recovered from replicas
    ready,        ///< owns the partition and accepts entries
    handing_over, ///< writes everything and releases the partition
    handed_over,  ///< the successor owns the partition
    lost,         ///< another instance owns the partition, or won the takeover
};

/// A log item that is not completely stored yet, and when this process appended it.
struct unflushed_item {
    log_item item;
    timestamp appended{0};
};

/// The write-ahead log of one partition, as a state machine without I/O: the caller takes the key-value calls to make
/// and passes in their replies and the current time. Entries that arrive while a write is in flight are written
/// together by the next one. One thread at a time.
///
/// An item is flushed once its entry is in a head record or snapshot and its text is in a segment that the head record
/// names. `log()` holds the items that are not flushed yet.
class journal {
public:
    /// `writer` is unique for each object; it is the prefix of the write ids. `settings` outlives the object.
    journal(std::uint32_t partition, instance_ref self, std::uint64_t incarnation, std::string writer,
            const journal_settings& settings);
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;
    ~journal() = default;

    /// Returns whether the texts of a segment of this size in bytes stay in memory during a takeover.
    using keep_texts = std::function<bool(std::size_t)>;

    /// Starts a takeover. Without `keep` all texts stay in memory.
    /// Precondition: phase is idle, handed_over or lost.
    void start_takeover(keep_texts keep = {});

    /// Continues the takeover with the `recovered` items of the replicas: entries after the last sequence of the head
    /// record, and texts of any sequence that no segment contains. The `closing_entries` take effect in the write that
    /// completes the takeover or not at all, because a later takeover must not combine them with the log of the
    /// previous owner.
    /// Precondition: phase is recovering; items are in order.
    void finish_takeover(std::vector<log_item> recovered, std::vector<entry> closing_entries,
                         std::vector<backup_ref> backups, timestamp now);

    /// Appends an entry and returns its sequence. Precondition: phase is ready or handing_over.
    std::uint64_t append(entry content, text_ref text, durability required, timestamp now);

    /// Replaces the list of backups with the next write. Precondition: phase is ready, `pending_backups()` is empty.
    void change_backups(std::vector<backup_ref> backups);

    /// Starts a handover: writes all entries and texts, then the head record with the next epoch and `successor` as
    /// owner. Entries may still be appended until `finish_handover`. Precondition: phase is ready.
    void start_handover(instance_ref successor);

    /// Allows the final write of a handover. No entry may be appended after it. Precondition: phase is handing_over.
    void finish_handover();

    /// Gives up the partition because a backup reported a higher epoch: another instance owns it.
    void stop();

    /// Sets the sequence up to which backups hold the log. An entry with a text is written to the head record only once
    /// a backup or a segment holds the text; otherwise the loss of this process alone would leave a turn without text.
    void set_replicated_sequence(std::uint64_t sequence)
    {
        m_replicated_sequence = std::max(m_replicated_sequence, sequence);
    }

    /// Removes an ended program from later snapshots.
    void remove_program(std::string_view program);

    /// Drops a result from later snapshots and segments.
    void expire_result(const std::string& program, const std::string& key, const std::string& call);

    /// See `segment_set::evict`.
    std::vector<std::uint64_t> evict(std::string_view program, bool include_small)
    {
        return m_segments.evict(program, include_small);
    }

    /// See `segment_set::evicted_segment_keys`.
    std::vector<std::string> evicted_segment_keys(std::string_view program) const
    {
        return m_segments.evicted_segment_keys(program);
    }

    /// Reads segments back. The calls are returned by `take_calls`.
    segment_reader& reader() { return m_reader; }
    const segment_reader& reader() const { return m_reader; }

    void handle(const kv_reply& reply, timestamp now);

    /// Starts the calls that are due and handles timeouts.
    void poll(timestamp now);

    std::vector<kv_call> take_calls() { return m_outbox.take(); }

    void add_wakes(earliest_wakeup& wakes) const;

    journal_phase phase() const { return m_phase; }

    /// The last known head record.
    const head_record& head() const { return m_head_store.record(); }

    /// The process that owned the partition before the last takeover; nothing before a takeover and after a handover.
    const std::optional<backup_ref>& previous_owner() const { return m_previous_owner; }

    /// The epoch that the takeover of this object sealed; 0 before.
    std::uint64_t epoch() const { return m_epoch; }

    /// The programs after all durable entries.
    const partition_image& image() const { return m_image; }

    /// Texts of the segments that the takeover read; empty after `finish_takeover`.
    const std::vector<text_summary>& loaded_texts() const { return m_loaded_texts; }

    const std::deque<unflushed_item>& log() const { return m_log; }

    /// The sequence of the last appended entry.
    std::uint64_t last() const { return m_last; }

    /// Entries up to this sequence are in a head record or snapshot.
    std::uint64_t durable() const { return m_durable; }

    /// Entries and texts up to this sequence are in the key-value service.
    std::uint64_t flushed() const;

    /// The changed list of backups, until a head write with it has taken effect.
    const std::optional<std::vector<backup_ref>>& pending_backups() const { return m_pending_backups; }

    /// Estimated size of `log()` in bytes.
    std::size_t unflushed_bytes() const { return m_log_bytes; }

    /// Returns whether the current head write has had no result for at least `limit`.
    bool stalled(timestamp now, timestamp limit) const;

private:
    void on_head(head_event event);
    void on_loaded();
    void on_committed();
    void on_replaced();
    void seal();
    void start_loading();
    void load_next(timestamp now);
    void handle_load(const kv_reply& reply, timestamp now);
    void load_snapshot(const kv_reply& reply, timestamp now);
    void load_segment(const kv_reply& reply);
    void keep_segment(const std::string& key, std::uint64_t version, std::vector<text_ref> texts);
    void check_still_sealed();
    void apply_durable(std::uint64_t sequence);
    void drop_ended(const entry& content);
    void replace_current_snapshot();
    void update_tail_bytes();
    void drop_unused_texts();
    void trim_log();
    void start_snapshot();
    void sweep_orphans();
    bool head_write_due(timestamp now) const;
    std::uint64_t writable_sequence() const;
    bool has_headroom() const;
    bool flushes_everything() const;
    bool stopped() const;
    std::optional<timestamp> lazy_deadline() const;
    head_record next_head() const;
    void replace_snapshot(head_record& next) const;
    void add_entries(head_record& next) const;
    void change_ownership(head_record& next) const;
    std::deque<unflushed_item>::const_iterator first_after(std::uint64_t sequence) const;

    std::uint32_t m_partition;
    instance_ref m_self;
    std::uint64_t m_incarnation;
    std::optional<backup_ref> m_previous_owner;
    const journal_settings* m_settings;
    kv_outbox m_outbox;
    head_store m_head_store;
    segment_set m_segments;
    key_eraser m_eraser;
    kv_channel m_load_channel;
    segment_reader m_reader;
    keep_texts m_keep_texts;

    journal_phase m_phase = journal_phase::idle;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_read_epoch = 0; ///< epoch of the head that the takeover read
    partition_image m_image;
    std::vector<text_summary> m_loaded_texts;
    std::size_t m_next_load = 0; ///< what loading reads next; 0: the snapshot, n: segment n - 1

    std::deque<unflushed_item> m_log;
    std::size_t m_log_bytes = 0;
    std::uint64_t m_last = 0;
    std::uint64_t m_durable = 0;
    std::uint64_t m_replicated_sequence = 0;
    std::uint64_t m_last_recovered = 0;   ///< closing entries of a takeover follow this sequence
    std::uint64_t m_confirm_sequence = 0; ///< last sequence appended with `durability::confirmed`
    std::size_t m_tail_bytes = 0;

    std::optional<immutable_write> m_snapshot;
    std::uint64_t m_snapshot_sequence = 0;
    std::string m_snapshot_digest;
    std::string m_current_snapshot_key; ///< key of the snapshot that the head names
    std::uint64_t m_current_snapshot_version = 0;

    std::optional<std::vector<backup_ref>> m_pending_backups; ///< set during publishing
    instance_ref m_successor;
    bool m_release_allowed = false;
};

} // namespace lagoonferry
