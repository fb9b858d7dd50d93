#pragma once

#include "routing/store_outage_tracker.h"
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
    bool maybe_lapsed =
        false; ///< removed around an outage of the store, so the entry may have expired on a live target
    /// How much longer such a target stays in use; by default the whole grace time.
    std::optional<timestamp> lapse_grace_left = std::nullopt;
};

/// The targets known from the target list in the store. No I/O. Not thread-safe.
class target_directory {
public:
    explicit target_directory(outage_timing timing = {}) : m_outages(timing) {}

    /// Applies changes that this gateway has read, in the order of their revisions. Returns those that the other
    /// gateways have to know: all except mere heartbeats of targets.
    std::vector<target_change> apply(std::span<const target_change> changes, timestamp now);

    /// Applies changes that another gateway has read. That gateway has reached the store, so a removal is final if it
    /// says so: if only this process cannot reach the store, it must not keep using a target that has left. That an
    /// entry may have lapsed is accepted only if no response of the store is known from that time. Returns the changes
    /// that were new.
    std::vector<target_change> apply_peer_changes(std::span<const target_change> changes, timestamp now);

    /// Replaces the list by a complete one, read at `revision`. Removes the targets that are missing there, except
    /// those with a newer revision. Returns what changed.
    std::vector<target_change> replace(std::span<const target_change> all, std::uint64_t revision, timestamp now);

    /// Records a failed call to the store by this process.
    void note_store_failure(timestamp now) { m_outages.note_failure(now); }

    /// Records a successful call to the store by this process or another gateway. The first one after an outage starts
    /// the time in which live targets write their expired entries again.
    void note_store_success(timestamp now) { m_outages.note_response(now); }

    /// Records that a target has announced that it is leaving, which may arrive before the change of the list. Ignored
    /// if `start` is not the current start of the target.
    void mark_leaving(std::string_view id, std::uint64_t start);

    /// Returns the targets of a service that accept new requests, in the order of their ids.
    std::vector<const target_record*> usable(std::string_view service, timestamp now) const;

    /// Returns the target if it accepts new requests, otherwise nullptr.
    const target_record* find_usable(std::string_view id, timestamp now) const;

    /// Returns whether a target is in the list, ready or draining.
    bool listed(std::string_view id) const;

    /// Returns whether a target is in the list, or was removed from it while its entry may merely have expired.
    bool may_be_live(std::string_view id, timestamp now) const;

    std::uint64_t revision() const { return m_revision; }
    void advance(std::uint64_t revision) { m_revision = std::max(m_revision, revision); }
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        target_record record;
        std::uint64_t revision = 0;
        bool removed = false;
        bool leaving = false; ///< stays set until the target restarts
        timestamp removed_at{};
        timestamp usable_until{}; ///< of a removed target whose entry may have expired
    };

    bool put(const target_record& record, std::uint64_t revision);
    bool remove(target_change& change, timestamp lapse_grace_left, timestamp now);
    bool accepts_requests(const entry& item, timestamp now) const;
    void purge_removed(timestamp now);

    store_outage_tracker m_outages;
    std::map<std::string, entry, std::less<>> m_entries;
    std::uint64_t m_revision = 0;
};

} // namespace lagoonferry
