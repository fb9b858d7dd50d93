#pragma once

#include "journal/immutable_write.h"
#include "journal/stored_text.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoonferry {

/// A text of a segment. Results of calls always stay in memory.
struct segment_text {
    std::string program;
    std::uint64_t number = 0; ///< of the turn; 0 for the result of a call
    std::size_t bytes = 0;
    text_ref text; ///< null if the text is only in the key-value service
};

/// The history segments of one partition: collects texts, writes them in batches under immutable keys, and merges small
/// segments from memory into new ones. Texts of larger segments may be evicted from memory; such a segment keeps its
/// key until all of its texts are dropped. A segment is in effect once the head record names it. One thread at a time.
class segment_set {
public:
    segment_set(std::uint32_t partition, kv_outbox& outbox, const journal_settings& settings);

    /// Adds a segment that was read during a takeover.
    void add_loaded(std::string key, std::uint64_t version, std::vector<segment_text> texts);

    /// Adds a text to be written. Precondition: `sequence` increases from call to call.
    void add(std::uint64_t sequence, text_ref text, timestamp now);

    /// Drops the texts for which `unused` returns true from memory and from segments that are written later.
    void drop(const std::function<bool(const segment_text&)>& unused);

    /// Evicts the texts of a program's turns that are in a stored segment. Segments below
    /// `journal_settings::min_evictable_bytes` keep their texts in memory unless `include_small` is set. A text that is
    /// also in such a segment or not written yet is not evicted. Returns the numbers of the evicted turns.
    std::vector<std::uint64_t> evict(std::string_view program, bool include_small);

    /// Keys of the segments with evicted texts of a program.
    std::vector<std::string> evicted_segment_keys(std::string_view program) const;

    /// Starts writing a segment if one is due, and continues it. With `immediate` it is due without any delay.
    void poll(std::uint64_t epoch, bool immediate, timestamp now);

    void handle(const kv_reply& reply, timestamp now);

    /// The keys that the next head record must name.
    std::vector<std::string> next_keys() const;

    /// Handles that a head record that names `keys` took effect. Returns the keys, with versions, to be erased.
    std::vector<std::pair<std::string, std::uint64_t>> committed(const std::vector<std::string>& keys);

    /// Returns whether a segment is being written.
    bool writing() const { return m_write && !m_written; }

    /// Returns whether a segment is written but no head record names it yet.
    bool waits_for_head() const { return m_written && m_write.has_value(); }

    /// Returns whether every text is in a segment that `next_keys` names.
    bool complete() const { return m_pending.empty() && (!m_write || m_written); }

    /// Returns the sequence of the first text after `after` that no segment in `next_keys` contains, or nothing.
    std::optional<std::uint64_t> first_unwritten(std::uint64_t after) const;

    /// Returns the sequence up to which the segments that the head record names contain every text. `last` is the last
    /// sequence in use.
    std::uint64_t flushed(std::uint64_t last) const;

    std::optional<timestamp> next_wake() const;

    /// Bytes of the texts that no segment of the head record contains.
    std::size_t unflushed_bytes() const { return m_unflushed_bytes; }

private:
    struct segment {
        std::string key;
        std::uint64_t version = 0;
        std::vector<segment_text> texts;
        bool evictable = false;
    };

    struct pending_text {
        std::uint64_t sequence = 0;
        text_ref text;
        timestamp added{0};
    };

    /// A segment that is being written or that no head record names yet.
    struct batch {
        segment content;
        std::vector<std::string> replaces;
        std::vector<std::uint64_t> sequences; ///< of the new texts
        std::size_t new_bytes = 0;
    };

    static std::size_t total_bytes(const segment& it);
    static bool in_memory(const segment& it);
    bool due(bool immediate, timestamp now) const;
    void start_batch(std::uint64_t epoch, timestamp now);
    void merge_small_segments(std::size_t max_bytes);

    std::uint32_t m_partition;
    kv_outbox* m_outbox;
    const journal_settings* m_settings;
    std::vector<segment> m_segments;
    std::deque<pending_text> m_pending;
    batch m_batch;
    std::optional<immutable_write> m_write;
    bool m_written = false;
    std::optional<timestamp> m_last_segment_start;
    std::size_t m_unflushed_bytes = 0;
};

/// Serializes the texts of a segment as CBOR. Thread-safe.
std::string encode_segment(const std::vector<text_ref>& texts);

/// Parses a segment without verifying digests. Returns nothing for input that `encode_segment` does not produce.
/// Thread-safe.
std::optional<std::vector<text_ref>> decode_segment(std::string_view value);

} // namespace lagoonferry
