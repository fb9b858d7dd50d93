#pragma once

#include "journal/head_store.h"
#include "journal/immutable_write.h"
#include "journal/key_eraser.h"
#include "journal/kv_outbox.h"
#include "journal/log_item.h"
#include "journal/partition_image.h"
#include "journal/segment_reader.h"
#include "journal/segment_set.h"
#include "util/wake_time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

enum class durability {
    lazy,      ///< written with others after `journal_settings::lazy_delay`
    confirmed, ///< written as soon as no other write is in flight
};

enum class journal_phase {
    idle,         ///< nothing is known
    reading,      ///< a takeover reads the head
    sealing,      ///< a takeover writes the head with the next epoch
    loading,      ///< a takeover reads snapshot and segments
    recovering,   ///< waits for `finish_takeover`
    publishing,   ///< writes what the takeover recovered
    ready,        ///< accepts entries
    handing_over, ///< writes everything and releases the partition
    handed_over,
    lost, ///< another instance owns the partition, or won the takeover
};

/// An item of the log with the time at which this process appended it.
struct unflushed_item {
    log_item item;
    timestamp appended{0};
};

/// One partition's chain of durable writes as a state machine on values: key-value calls come out, replies and the time
/// go in. Entries that arrive while a write is in flight share the next one. One thread at a time.
///
/// The log holds the items that are not entirely in the key-value service yet (entry in a head or snapshot, text in a
/// segment that the head names).
class journal {
public:
    /// `writer` is unique for each object. `settings` outlives the object.
    journal(std::uint32_t partition, instance_ref self, std::uint64_t incarnation, std::string writer,
            const journal_settings& settings);
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;
    ~journal() = default;

    /// Decides whether the texts of a segment, with this number of bytes, stay in memory during a takeover.
    using keep_texts = std::function<bool(std::size_t)>;

    /// Starts a takeover from any phase in which none is running. Without `keep` all texts stay in memory.
    /// Precondition: phase is idle, handed_over or lost.
    void start_takeover(keep_texts keep = {});

    /// Continues the takeover with what the copies contained: entries behind the head's last sequence, and texts of
    /// any sequence that no segment contains. `closing_entries` entries take effect in the same write that completes
    /// the takeover, or not at all: a later takeover must not find them next to the former owner's log. Precondition:
    /// phase is recovering; items are in order.
    void finish_takeover(std::vector<log_item> recovered, std::vector<entry> closing_entries,
                         std::vector<backup_ref> backups, timestamp now);

    /// Appends an entry and returns its sequence. Precondition: phase is ready or handing_over.
    std::uint64_t append(entry content, text_ref text, durability wanted, timestamp now);

    /// Replaces the list of backups with the next write. Precondition: phase is ready, `pending_backups()` is empty.
    void change_backups(std::vector<backup_ref> backups);

    /// Writes everything, then the head with the next epoch and `successor` as owner. Entries may still be appended
    /// until the final write starts. Precondition: phase is ready.
    void start_handover(instance_ref successor);

    /// Allows the final write of a handover; nothing may be appended any more. Precondition: phase is handing_over.
    void finish_handover();

    /// A backup reported a higher epoch, so another instance owns the partition.
    void stop();

    /// Tells which part of the log backups hold. An entry with a text is written to the head only once its text is
    /// held by a backup or a segment; otherwise the loss of this process alone would leave a turn without text.
    void set_replicated_sequence(std::uint64_t sequence) { m_stored = std::max(m_stored, sequence); }

    /// Removes an ended program from later snapshots.
    void remove_program(std::string_view program);

    /// Drops a result from later snapshots and segments.
    void expire_result(const std::string& program, const std::string& key, const std::string& call);

    /// See `segment_set::evict`.
    std::vector<std::uint64_t> evict(std::string_view program, bool small) { return m_segments.evict(program, small); }

    /// See `segment_set::evicted_segment_keys`.
    std::vector<std::string> evicted_segment_keys(std::string_view program) const
    {
        return m_segments.evicted_segment_keys(program);
    }

    /// Reads segments back; reads start with the next `take_calls`.
    segment_reader& reader() { return m_reader; }
    const segment_reader& reader() const { return m_reader; }

    void handle(const kv_reply& reply, timestamp now);

    /// Starts what is due.
    void poll(timestamp now);

    std::vector<kv_call> take_calls() { return m_outbox.take(); }

    void add_wakes(wake_time& wakes) const;

    journal_phase phase() const { return m_phase; }

    /// The head record as last known.
    const head_record& head() const { return m_chain.record(); }

    /// The process that owned the partition before the last takeover, or nothing after a handover and at first.
    const std::optional<backup_ref>& previous_owner() const { return m_replaced_owner; }

    /// The epoch that this object sealed, or 0.
    std::uint64_t epoch() const { return m_epoch; }

    /// The state of the durable log.
    const partition_image& image() const { return m_image; }

    /// Texts of the segments that the takeover read; empty once `finish_takeover` was called.
    const std::vector<text_summary>& loaded_texts() const { return m_loaded_texts; }

    const std::deque<unflushed_item>& log() const { return m_log; }

    std::uint64_t last() const { return m_last; }

    /// Entries up to this sequence are confirmed.
    std::uint64_t durable() const { return m_durable; }

    /// Entries and texts up to this sequence are in the key-value service.
    std::uint64_t flushed() const;

    /// The list of backups that a write in flight or a later one establishes.
    const std::optional<std::vector<backup_ref>>& pending_backups() const { return m_next_backups; }

    /// Estimated bytes of the log.
    std::size_t unflushed_bytes() const { return m_log_bytes; }

    /// Returns whether the present head write has been without result for `limit`.
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
    void count_tail();
    void drop_unused_texts();
    void trim_log();
    void start_snapshot();
    void sweep_orphans();
    bool wants_write(timestamp now) const;
    std::uint64_t writable() const;
    bool has_headroom() const;
    bool writes_everything() const;
    bool stopped() const;
    std::optional<timestamp> lazy_due() const;
    head_record next_head() const;
    void replace_snapshot(head_record& next) const;
    void add_entries(head_record& next) const;
    void change_ownership(head_record& next) const;
    std::deque<unflushed_item>::const_iterator first_after(std::uint64_t sequence) const;

    std::uint32_t m_partition;
    instance_ref m_self;
    std::uint64_t m_incarnation;
    std::optional<backup_ref> m_replaced_owner;
    const journal_settings* m_settings;
    kv_outbox m_outbox;
    head_store m_chain;
    segment_set m_segments;
    key_eraser m_eraser;
    kv_channel m_load_channel;
    segment_reader m_reader;
    keep_texts m_keep;

    journal_phase m_phase = journal_phase::idle;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_read_epoch = 0; ///< epoch that the takeover found
    partition_image m_image;
    std::vector<text_summary> m_loaded_texts;
    std::size_t m_next_load = 0; ///< 0: the snapshot; n: segment n - 1

    std::deque<unflushed_item> m_log;
    std::size_t m_log_bytes = 0;
    std::uint64_t m_last = 0;
    std::uint64_t m_durable = 0;
    std::uint64_t m_stored = 0;
    std::uint64_t m_last_recovered = 0; ///< closing entries of a takeover follow this sequence
    std::uint64_t m_confirm = 0;        ///< the last sequence that should be written without delay
    std::size_t m_tail_bytes = 0;

    std::optional<immutable_write> m_snapshot;
    std::uint64_t m_snapshot_sequence = 0;
    std::string m_snapshot_digest;
    std::string m_current_snapshot; ///< key of the snapshot that the head names
    std::uint64_t m_current_snapshot_version = 0;

    std::optional<std::vector<backup_ref>> m_next_backups; ///< set during publishing
    instance_ref m_successor;
    bool m_release = false;
};

} // namespace lagoonferry
