#pragma once

#include "journal/head_record.h"
#include "journal/partition_image.h"
#include "journal/stored_text.h"
#include "program/action.h"
#include "program/owner_settings.h"
#include "util/earliest_wakeup.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonferry {

/// State of a partition that a takeover has recovered.
struct recovered_partition {
    /// Items after the last sequence of the head record, and earlier items whose text is in no segment.
    std::vector<log_item> items;
    partition_image image; ///< including the recovered entries
    /// Complete, verified chains by program. A text that was not kept in memory is null.
    std::map<std::string, std::vector<text_ref>, std::less<>> histories;
    std::map<std::string, text_ref, std::less<>> results; ///< by call
    std::set<std::string, std::less<>> unavailable;       ///< programs without a complete, verified chain
    std::uint64_t digest_mismatches = 0;
};

/// The step of a takeover between sealing the head record and publishing the new one. Fetches the replica of every
/// backup in the sealed head record with the new epoch, which also fences the former owner, and merges the replicas.
/// Each replica is a part of the same log, so the merge is a union by sequence. A backup that does not reply blocks the
/// takeover as long as the instance list contains it. One thread at a time.
class recovery {
public:
    /// `sealed` is the head record with this instance's epoch. `settings` outlives the object.
    recovery(const head_record& sealed, const owner_settings& settings);

    void set_peers(const std::vector<peer_state>& peers);

    /// Sends fetches that are due.
    void poll(timestamp now, std::vector<action>& out);

    /// Returns false if a backup has seen a higher epoch, which means that another takeover is in progress.
    bool handle(const fetch_reply& reply);

    /// Returns whether every backup has sent its whole replica, or has left the instance list and did not do so within
    /// a timeout.
    bool complete(timestamp now) const;

    /// Returns whether a replica is lost because its backup has left the instance list or has restarted. It may have
    /// been the only replica with the last entries, so the recovered state may be older than what callers have seen.
    bool lacks_replica() const;

    /// Merges the replicas into the durable state, which is `image` and `texts`. Precondition: `complete(now)`.
    recovered_partition merge(const partition_image& image, const std::vector<text_summary>& texts) const;

    void add_wakes(earliest_wakeup& wakes) const;

private:
    /// State of the fetch from one backup.
    struct backup_fetch {
        backup_ref backup;
        bool done = false;
        bool delisted = false;  ///< no longer in the instance list
        bool restarted = false; ///< another incarnation replied
        std::uint64_t after = 0;
        timestamp next_send{0};
        std::optional<timestamp> first_send;
    };

    static bool finished(const backup_fetch& it, timestamp now);

    void merge_entries(recovered_partition& out) const;
    const log_item* choose_item(std::uint64_t sequence, recovered_partition& out) const;
    static void build_histories(const std::vector<text_summary>& texts, recovered_partition& out);
    void add_unflushed(const std::vector<text_summary>& texts, recovered_partition& out) const;

    const owner_settings* m_settings;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_ready_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::vector<backup_fetch> m_fetches;
    std::map<std::uint64_t, std::vector<log_item>> m_items; ///< by sequence, one from each replica that has it
};

} // namespace lagoonferry
