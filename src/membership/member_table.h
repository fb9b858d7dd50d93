#pragma once

#include "membership/heartbeat.h"
#include "membership/listed_instance.h"
#include "membership/member.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The liveness of a member as this process sees it. It is never sent to others.
enum class member_liveness { reachable, suspected, presumed_down };

struct member_timing {
    timestamp suspicion = std::chrono::seconds(3);
    timestamp presumed_down = std::chrono::seconds(6);
    timestamp gone_retention = std::chrono::minutes(10);
    timestamp max_list_lag = std::chrono::minutes(1); ///< how long the instance list may show an earlier incarnation
    /// For this number of rounds after its start a process gets replies that also carry updates in round-robin order,
    /// because it has to learn the addresses of others.
    std::uint64_t bootstrap_rounds = 120;
};

/// The state of the other processes and of the targets, as one process knows it. Selects the receivers of the next
/// heartbeat and the updates that it carries. Not thread-safe.
class member_table {
public:
    /// `self` is alive. `datagram_port` is used for members that are known only from the instance list; 0 means that
    /// they are not contacted. `seed` seeds the random choice of peers.
    member_table(member self, member_timing timing, std::uint16_t datagram_port, std::uint64_t seed, timestamp now);

    /// Merges a received heartbeat. Returns whether the sender wants a reply.
    bool receive(const heartbeat& message, timestamp now);

    /// Updates the last-seen time of a member that has sent any other authenticated message.
    void update_last_seen(std::string_view id, timestamp now);

    /// Excludes a pause of this process, which has just ended, from the silence of other members.
    void exclude_pause(timestamp duration, timestamp now);

    /// Merges one response of the instance list. This adds members and marks members as leaving or gone, but never sets
    /// a leaving incarnation back to alive. A process that is absent from the list becomes gone when it is also not
    /// reachable; a target when it is absent twice in a row. A gone target that is listed again gets a new incarnation.
    void merge_instances(std::span<const listed_instance> list, timestamp now);

    /// Marks the current incarnation of a member or target as leaving. This is final. Returns false for an id that is
    /// unknown or gone.
    bool mark_leaving(std::string_view id, timestamp now);

    /// Replaces the set of targets that the documents in force name, so that they are known before they are listed.
    void set_targets(std::set<std::string, std::less<>> ids, timestamp now);

    /// Sets the used capacity of this process in percent.
    void set_own_load(std::uint32_t percent);

    /// Sets the contacts: the members with which this process shares partitions. Heartbeats go to them in round-robin
    /// order, so that each side receives from the other within the suspicion time at any fleet size. The liveness of
    /// other members follows from forwarded updates, with timeouts that grow with the fleet. In a small fleet all
    /// processes are contacts.
    void set_contacts(std::set<std::string, std::less<>> ids, timestamp now);

    /// Sets whether heartbeats carry last-seen times of other processes. These then decide the liveness of all
    /// contacts, so that each process needs to send to only a few others at a time.
    void set_gossip(bool on) { m_gossip = on; }

    /// Returns the next heartbeat with as many updates as fit. Each call starts a new round and counts these updates as
    /// sent.
    heartbeat next_heartbeat(std::vector<document_version> documents, std::vector<owned_partition> partitions,
                             timestamp now);

    /// Returns the reply to a heartbeat that wants one. It carries pending updates that the heartbeat did not contain,
    /// so that they also reach processes that are no contact of any other. If this process regards the sender as
    /// leaving, gone or superseded, the first update says so.
    heartbeat reply(const heartbeat& message, std::vector<owned_partition> partitions, timestamp now) const;

    /// Returns at most `count` members that get the next heartbeat, and records the time as their last contact. Empty
    /// while no member is known: the caller then contacts the seeds of its settings.
    std::vector<member> next_peers(std::size_t count, timestamp now);

    /// Returns the liveness of a member. Unknown and gone members are presumed down; targets and this process are
    /// always reachable.
    member_liveness liveness(std::string_view id, timestamp now) const;

    const member& self() const { return m_self.latest_update.subject; }

    /// Returns whether another process with the same id and a later incarnation is running. This one should stop.
    bool superseded() const { return m_superseded; }

    /// Returns a counter of members that joined, restarted or changed their state. Liveness changes do not count.
    std::uint64_t change_count() const { return m_changes; }

    /// Returns the known state of a member, this process or a target.
    std::optional<member> find(std::string_view id) const;

    /// Returns the members of a role that are not gone, ordered by id, with this process if it has the role.
    std::vector<member> members(member_role role) const;

    /// Returns the alive members of a role that are not presumed down, with this process if it is alive.
    std::vector<member> usable(member_role role, timestamp now) const;

    /// Returns whether a target must get no new work because it is leaving or gone.
    bool excluded(std::string_view target) const;

    /// Returns whether the last response of the instance list had this id. Nothing before the first response.
    std::optional<bool> listed(std::string_view id) const;

private:
    struct record {
        member_update latest_update;
        timestamp last_seen{};
        timestamp incarnation_since{};
        timestamp contact_since{};
        timestamp last_contacted{};
        timestamp state_since{};
        bool contact = false;
        bool was_listed = false;
        bool listed_leaving = false;
        bool missing = false; ///< absent from the last response of the instance list, which should have it
        std::size_t consecutive_absences = 0;
        std::size_t transmissions_left = 0;
    };

    record* find_record(std::string_view id);
    const record* find_record(std::string_view id) const;
    void apply(const member_update& update, timestamp now);
    void apply_to_self(const member_update& update, timestamp now);
    void start_incarnation(record& item, const member_update& update, timestamp now);
    static member_update with_current_age(const record& item, timestamp now);
    void raise_state(record& item, member_state state, timestamp now);
    void merge_row(const listed_instance& row, timestamp now);
    void merge_leaving(record& item, timestamp now);
    void merge_absence(record& item, timestamp now);
    bool expired(const record& item, timestamp now) const;
    void queue_update(record& item);
    void update_contacts(timestamp now);
    std::vector<last_seen_entry> last_seen_to_send(timestamp now);
    void apply_last_seen(std::span<const last_seen_entry> entries, timestamp now);
    std::vector<record*> select_updates(bool processes, std::size_t limit, std::size_t min_count,
                                        std::string& last_sent);
    std::vector<const record*> pending_updates_for(const heartbeat& message, bool processes) const;
    void add_round_robin(std::vector<const record*>& chosen, std::uint64_t round) const;
    void order_contacts(std::vector<record*>& contacts, timestamp now);
    bool contactable(const record& item) const;
    member with_datagram_port(const record& item) const;
    member_liveness liveness(const record& item, timestamp now) const;

    record m_self;
    member_timing m_timing;
    std::uint16_t m_datagram_port;
    std::minstd_rand m_random;
    std::map<std::string, record, std::less<>> m_records;
    std::set<std::string, std::less<>> m_contacts;
    std::set<std::string, std::less<>> m_targets;
    std::set<std::string, std::less<>> m_listed;
    std::size_t m_process_count = 1; ///< processes that were not gone in the last round, including this one
    std::multimap<std::uint32_t, std::string> m_ids_by_hash; ///< ids by `short_id_hash`; may lack new ones
    std::size_t m_indexed_records = 0;                       ///< number of records when the index was built
    bool m_gossip = false;
    std::uint64_t m_changes = 0;
    bool m_list_received = false;
    bool m_superseded = false;
    bool m_has_pending_updates = false; ///< if false, no record has transmissions left
    std::string m_last_process_sent;
    std::string m_last_target_sent;
};

} // namespace lagoonferry
