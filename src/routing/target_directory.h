#pragma once

#include "routing/target_record.h"
#include "util/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// One change of the target list, as read from the store.
struct target_change {
    std::string id;
    std::uint64_t revision = 0;
    std::optional<target_record> record; ///< empty: removed or not readable
    bool removed = false;
    bool maybe_lapsed = false; ///< removed while store calls failed, so the entry may have expired on a live target
};

struct directory_timing {
    /// How long a target stays in use if its entry may merely have expired. Live targets write their entries again
    /// within about two seconds after the store is back.
    timestamp lapse_grace = std::chrono::milliseconds(2'300);
    /// How long after the last failed store call a removal may still be an expired entry of a live target.
    timestamp store_failure_window = std::chrono::milliseconds(3'000);
};

/// The targets known from the target list in the store. No I/O. Not thread-safe.
class target_directory {
public:
    explicit target_directory(directory_timing timing = {}) : m_timing(timing) {}

    /// Applies changes that this gateway has read, in the order of their revisions. Returns those that the other
    /// gateways have to know: all except mere heartbeats of targets.
    std::vector<target_change> apply(std::span<const target_change> changes, timestamp now);

    /// Applies changes that another gateway has read. That gateway has reached the store, so its `maybe_lapsed` is
    /// decisive: if only this process cannot reach the store, it must not keep using a target that has left. Returns
    /// the changes that were new.
    std::vector<target_change> apply_peer_changes(std::span<const target_change> changes, timestamp now);

    /// Replaces the list by a complete one, read at `revision`. Removes the targets that are missing there, except
    /// those with a newer revision. Returns what changed.
    std::vector<target_change> replace(std::span<const target_change> all, std::uint64_t revision, timestamp now);

    /// Records a failed call to the store, by this process or another one.
    void note_store_failure(timestamp now);

    /// Records that a target has announced that it is leaving, which may arrive before the change of the list. Ignored
    /// if `start` is not the current start of the target.
    void mark_leaving(std::string_view id, std::uint64_t start);

    /// Returns the targets of a service that accept new requests, in the order of their ids.
    std::vector<const target_record*> usable(std::string_view service, timestamp now) const;

    /// Returns the target if it accepts new requests, otherwise nullptr.
    const target_record* find_usable(std::string_view id, timestamp now) const;

    /// Returns whether a target is in the list, ready or draining.
    bool listed(std::string_view id) const;

    std::uint64_t revision() const { return m_revision; }
    void advance(std::uint64_t revision) { m_revision = std::max(m_revision, revision); }
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        target_record record;
        std::uint64_t revision = 0;
        bool removed = false;
        bool leaving = false; ///< stays set until the target restarts
        bool maybe_lapsed = false;
        timestamp removed_at{};
    };

    bool put(const target_record& record, std::uint64_t revision);
    bool remove(target_change& change, bool may_have_lapsed, timestamp now);
    bool store_failed_recently(timestamp now) const;
    bool in_lapse_grace(const entry& item, timestamp now) const;
    bool accepts_requests(const entry& item, timestamp now) const;
    void purge_removed(timestamp now);

    directory_timing m_timing;
    std::map<std::string, entry, std::less<>> m_entries;
    std::uint64_t m_revision = 0;
    std::optional<timestamp> m_last_store_failure;
};

} // namespace lagoonferry
