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

/// One change of the list of targets, as the store reports it.
struct target_change {
    std::string id;
    std::uint64_t revision = 0;
    std::optional<target_record> record; ///< nothing: removed, or no longer readable
    bool removed = false;
    bool maybe_lapsed = false; ///< removed while the store had trouble, so the target may be alive
};

struct directory_timing {
    /// How long a target stays in use that may only have lapsed: entries are written again within about two seconds of
    /// the store's return.
    timestamp lapse_grace = std::chrono::milliseconds(2'300);
    /// How long after the last trouble of the store a removal may still be a lapse.
    timestamp store_failure_window = std::chrono::milliseconds(3'000);
};

/// The targets as known from the store's list. Decision code without I/O; one owner, not thread-safe.
class target_directory {
public:
    explicit target_directory(directory_timing timing = {}) : m_timing(timing) {}

    /// Takes changes in the order of their revisions. Returns those that others have to know: everything but a mere
    /// report of life.
    std::vector<target_change> apply(std::span<const target_change> changes, timestamp now);

    /// Takes changes that another gateway has read. Whether a removal may be a lapse is the word of that one, which
    /// reached the store; trouble of this process alone must not keep a target that has left. Returns what was news.
    std::vector<target_change> apply_peer_changes(std::span<const target_change> changes, timestamp now);

    /// Replaces the list by a full one, read at `revision`. Targets that are missing there are removed. Returns what
    /// changed.
    std::vector<target_change> replace(std::span<const target_change> all, std::uint64_t revision, timestamp now);

    /// Notes a failed call to the store, by this process or another one.
    void note_store_failure(timestamp now);

    /// Notes the word of a target that it leaves, which may come ahead of the list.
    void mark_leaving(std::string_view id, std::uint64_t start);

    /// Returns the targets of a service that may get new work, in order of their ids.
    std::vector<const target_record*> usable(std::string_view service, timestamp now) const;

    /// Returns a target that may get new work.
    const target_record* find_usable(std::string_view id, timestamp now) const;

    /// Returns whether a target is listed at all, ready or draining. A target that ended is not.
    bool listed(std::string_view id) const;

    std::uint64_t revision() const { return m_revision; }
    void advance(std::uint64_t revision) { m_revision = std::max(m_revision, revision); }
    std::size_t size() const { return m_rows.size(); }

private:
    struct row {
        target_record record;
        std::uint64_t revision = 0;
        bool removed = false;
        bool leaving = false; ///< for good, until the target starts again
        bool maybe_lapsed = false;
        timestamp removed_at{};
    };

    bool put(const target_record& record, std::uint64_t revision);
    bool remove(target_change& change, bool may_have_lapsed, timestamp now);
    bool in_trouble(timestamp now) const;
    bool in_grace(const row& item, timestamp now) const;
    bool may_get_work(const row& item, timestamp now) const;
    void forget_old(timestamp now);

    directory_timing m_timing;
    std::map<std::string, row, std::less<>> m_rows;
    std::uint64_t m_revision = 0;
    std::optional<timestamp> m_last_trouble;
};

} // namespace lagoonferry
