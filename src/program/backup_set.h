#pragma once

#include "journal/journal.h"
#include "program/action.h"
#include "program/owner_settings.h"
#include "util/earliest_wakeup.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lagoonferry {

/// Replicates the log of one partition owner to its backups and determines which prefix of the log is stored. An item
/// is stored as soon as one of these conditions holds:
/// - Every backup that is in the instance list and presumed up has acknowledged it. If all are presumed down, one
///   acknowledgement from a listed backup suffices.
/// - One listed backup has acknowledged it, and `all_backups_timeout` has passed since it was appended.
/// - It is in the key-value service.
/// While the list of backups changes, the rule must hold for the old and for the new list. Otherwise an item that only
/// a removed backup has acknowledged could be lost with the owner. One thread at a time.
class backup_set {
public:
    /// `settings` outlives the object.
    explicit backup_set(const owner_settings& settings);

    void set_peers(std::vector<peer_state> peers);

    /// Returns the preferred list of backups. Members of `current` that are still eligible stay in it.
    std::vector<backup_ref> choose(const std::vector<backup_ref>& current, timestamp now) const;

    /// Excludes `previous_owner`, the process whose failure led to the takeover, from `choose` until `until`.
    void exclude(const std::optional<backup_ref>& previous_owner, timestamp until);

    /// Begins an ownership. Everything up to `flushed` is in the key-value service.
    void start(std::uint64_t epoch, std::vector<backup_ref> backups, std::uint64_t flushed);

    /// Ends an ownership.
    void stop();

    /// Returns false if the reply shows that another instance owns the partition.
    bool handle(const replicate_reply& reply, timestamp now);

    /// Sends the batches that are due. Requests a change of the backup list from the journal if the preferred list
    /// differs and all its backups have caught up.
    void poll(journal& log, timestamp now, std::vector<action>& out);

    /// Clears the replicas on the backups after a handover, when the whole log is in the key-value service.
    void discard_replicas(std::uint64_t epoch, std::uint64_t flushed, std::vector<action>& out);

    /// Returns the last sequence of the stored prefix, which never decreases during an ownership.
    std::uint64_t stored(const journal& log, timestamp now);

    void add_wakes(const journal& log, earliest_wakeup& wakes) const;

private:
    /// State of the replication to one incarnation of one backup.
    struct stream_state {
        backup_ref backup;
        std::uint64_t stream = 0;
        bool started = false; ///< the backup has acknowledged the reset
        bool in_flight = false;
        bool restarted = false; ///< another incarnation replied, so the replica is lost
        std::uint64_t acknowledged = 0;
        std::uint64_t batch_end = 0;
        std::uint64_t reported_flushed = 0;
        timestamp sent{0};
    };

    const peer_state* find_peer(const backup_ref& backup) const;
    stream_state* find_stream(const backup_ref& backup);
    const stream_state* find_stream(const backup_ref& backup) const;
    void add_stream(const backup_ref& backup);
    void update_streams(const std::vector<backup_ref>& wanted);
    bool is_eligible(const peer_state& peer, timestamp now) const;
    bool presumed_up(const stream_state& it) const;
    bool is_listed(const stream_state& it) const;
    std::uint64_t acknowledged_by(const std::vector<backup_ref>& backups, const journal& log, timestamp now) const;
    void update_list(journal& log, timestamp now, std::vector<action>& out);
    void discard(const stream_state& it, std::uint64_t epoch, std::uint64_t flushed, std::vector<action>& out);
    bool is_due(const stream_state& it, const journal& log, timestamp now) const;
    timestamp resend_time(const stream_state& it) const;
    void send(stream_state& it, const journal& log, timestamp now, std::vector<action>& out);

    const owner_settings* m_settings;
    std::optional<backup_ref> m_excluded;
    timestamp m_excluded_until{0};
    std::vector<peer_state> m_peers;
    bool m_active = false;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_last_stream = 0;
    std::uint64_t m_stored = 0;
    std::vector<backup_ref> m_backups; ///< list in the head record, as of the last `update_list`
    std::vector<stream_state> m_streams;
};

} // namespace lagoonferry
