#pragma once

#include "journal/journal.h"
#include "program/action.h"
#include "program/owner_settings.h"
#include "util/wake_time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lagoonferry {

/// Sends one owner's log to its backups and decides which part of it is stored: a prefix of the log that every listed
/// backup which is believed up has acknowledged, or at least one after the backup wait, or that is in the key-value
/// service. While the list of backups changes, the old and the new list must both satisfy the rule; otherwise an item
/// acknowledged only by a leaving backup could be lost with the owner. One thread at a time.
class backup_set {
public:
    /// `settings` outlives the object.
    explicit backup_set(const owner_settings& settings);

    void set_peers(std::vector<peer_state> peers);

    /// Returns the preferred list, keeping healthy members of `current`.
    std::vector<backup_ref> choose(const std::vector<backup_ref>& current, timestamp now) const;

    /// Does not choose this process until then: the one whose failure led to the takeover.
    void avoid(const std::optional<backup_ref>& previous_owner, timestamp until);

    /// Begins an ownership. Everything up to `flushed` is in the key-value service.
    void start(std::uint64_t epoch, std::vector<backup_ref> backups, std::uint64_t flushed);

    /// Ends an ownership.
    void stop();

    /// Returns false if the reply shows that another instance owns the partition.
    bool handle(const replicate_reply& reply, timestamp now);

    /// Sends what is due and asks the journal for a change of the list when one is useful and safe.
    void poll(journal& log, timestamp now, std::vector<action>& out);

    /// Empties the copies after a handover, when everything is in the key-value service.
    void discard_replicas(std::uint64_t epoch, std::uint64_t flushed, std::vector<action>& out);

    /// The end of the stored prefix; never decreases during an ownership.
    std::uint64_t stored(const journal& log, timestamp now);

    void add_wakes(const journal& log, wake_time& wakes) const;

private:
    /// The copy on one incarnation of one backup.
    struct stream_state {
        backup_ref backup;
        std::uint64_t stream = 0;
        bool started = false; ///< the backup has acknowledged the reset
        bool in_flight = false;
        bool restarted = false; ///< another incarnation answered, so the copy is gone
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
    bool usable(const peer_state& peer, timestamp now) const;
    bool presumed_up(const stream_state& it) const;
    bool is_listed(const stream_state& it) const;
    std::uint64_t acknowledged_by(const std::vector<backup_ref>& backups, const journal& log, timestamp now) const;
    void update_list(journal& log, timestamp now, std::vector<action>& out);
    void discard(const stream_state& it, std::uint64_t epoch, std::uint64_t flushed, std::vector<action>& out);
    bool due(const stream_state& it, const journal& log, timestamp now) const;
    timestamp resend_time(const stream_state& it) const;
    void send(stream_state& it, const journal& log, timestamp now, std::vector<action>& out);

    const owner_settings* m_settings;
    std::optional<backup_ref> m_avoided;
    timestamp m_avoided_until{0};
    std::vector<peer_state> m_peers;
    bool m_active = false;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_last_stream = 0;
    std::uint64_t m_stored = 0;
    std::vector<backup_ref> m_backups; ///< the list in the head record when it was last looked at
    std::vector<stream_state> m_streams;
};

} // namespace lagoonferry
