#pragma once

#include "journal/head_record.h"
#include "journal/partition_image.h"
#include "journal/stored_text.h"
#include "program/action.h"
#include "program/owner_settings.h"
#include "util/wake_time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonferry {

/// What a takeover recovered.
struct recovered_partition {
    /// Entries behind the head's last sequence, and items of earlier sequences whose text no segment contains.
    std::vector<log_item> items;
    partition_image image;                                               ///< including the recovered entries
    std::map<std::string, std::vector<text_ref>, std::less<>> histories; ///< complete, verified chains by program; a
                                                                         ///< text that was not kept is null
    std::map<std::string, text_ref, std::less<>> results;                ///< by call
    std::set<std::string, std::less<>> unavailable; ///< programs whose recorded chain is longer than what was found
    std::uint64_t digest_mismatches = 0;
};

/// The part of a takeover between sealing and publishing: fences every backup that the sealed head names by fetching
/// its copy with the new epoch, and merges the copies. Each copy is a part of the same log, so merging is a union by
/// sequence. A backup that does not answer blocks the takeover while the instance list holds it. One thread at a time.
class recovery {
public:
    /// `sealed` is the head record with this instance's epoch. `settings` outlives the object.
    recovery(const head_record& sealed, const owner_settings& settings);

    void set_peers(const std::vector<peer_state>& peers);

    /// Sends fetches that are due.
    void poll(timestamp now, std::vector<action>& out);

    /// Returns false if a backup has seen a higher epoch, so that another takeover is under way.
    bool handle(const fetch_reply& reply);

    /// Returns whether every backup has answered, or is gone and has not answered for a moment either.
    bool complete(timestamp now) const;

    /// Returns whether a copy is lost, because its backup is gone or has restarted. It may have been the only one with
    /// the last entries, so what the other copies hold may be older than what callers know.
    bool lacks_replica() const;

    /// Merges. `image` and `texts` are the durable state. Precondition: `complete(now)`.
    recovered_partition merge(const partition_image& image, const std::vector<text_summary>& texts) const;

    void add_wakes(wake_time& wakes) const;

private:
    struct source {
        backup_ref backup;
        bool done = false;
        bool gone = false;      ///< no longer in the instance list
        bool restarted = false; ///< another incarnation answered
        std::uint64_t after = 0;
        timestamp next_send{0};
        std::optional<timestamp> first_send;
    };

    static bool finished(const source& it, timestamp now);

    void merge_entries(recovered_partition& out) const;
    const log_item* pick(std::uint64_t sequence, recovered_partition& out) const;
    static void build_histories(const std::vector<text_summary>& texts, recovered_partition& out);
    void add_unflushed(const std::vector<text_summary>& texts, recovered_partition& out) const;

    const owner_settings* m_settings;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_ready_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::vector<source> m_sources;
    std::map<std::uint64_t, std::vector<log_item>> m_items; ///< by sequence, one from each copy that has it
};

} // namespace lagoonferry
