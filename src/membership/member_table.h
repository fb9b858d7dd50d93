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

/// Local judgement about a member, never told to others.
enum class member_liveness { reachable, suspected, presumed_down };

struct member_timing {
    timestamp suspicion = std::chrono::seconds(3);
    timestamp presumed_down = std::chrono::seconds(6);
    timestamp gone_retention = std::chrono::minutes(10);
    timestamp max_list_lag = std::chrono::minutes(1); ///< how long the instance list may show a former incarnation
    /// Answers to a process in so many first rounds carry updates in turn, because it has yet to learn the addresses of
    /// others.
    std::uint64_t bootstrap_rounds = 120;
};

/// What one process knows about the others and about targets. Decides who hears the next heartbeat and which updates
/// it carries. One owner; not thread-safe.
class member_table {
public:
    /// `self` is alive. `datagram_port` is used for members of which only the instance list has told; 0 means that
    /// they are not contacted. `seed` starts the choice of random peers.
    member_table(member self, member_timing timing, std::uint16_t datagram_port, std::uint64_t seed, timestamp now);

    /// Takes a heartbeat. Returns whether the sender wants an answer.
    bool receive(const heartbeat& message, timestamp now);

    /// Notes another authenticated message of a member, which proves that it is alive.
    void update_last_seen(std::string_view id, timestamp now);

    /// Merges one answer of the instance list. It adds members, and marks members as leaving or gone, but never takes
    /// a leaving incarnation back to alive. A process that is missing in the list is gone when it is silent as well; a
    /// target when it is missing twice in a row. A target that is back in the list gets a new incarnation.
    void merge_instances(std::span<const listed_instance> list, timestamp now);

    /// Marks the present incarnation of a member or target as leaving, for good. Returns false for an unknown id.
    bool mark_leaving(std::string_view id, timestamp now);

    /// Sets the targets of the documents in force, so that they are known before the instance list names them.
    void set_targets(std::set<std::string, std::less<>> ids, timestamp now);

    /// Sets the used part of the capacity of this process in percent.
    void set_own_load(std::uint32_t percent);

    /// Sets the members with which this process shares partitions. They are contacted in turn, so that both sides hear
    /// from each other within the suspicion time at any fleet size. Others are judged by forwarded updates, with times
    /// that grow with the fleet. In a small fleet all processes are contacts.
    void set_contacts(std::set<std::string, std::less<>> ids, timestamp now);

    /// Sets whether heartbeats carry signs of life of other processes. All contacts can then be judged by them, so that
    /// each process has to reach only a few others at a time.
    void set_gossip(bool on) { m_gossip = on; }

    /// Returns the next heartbeat with as many updates as fit. Each call starts a round of heartbeats.
    heartbeat next_heartbeat(std::vector<document_version> documents, std::vector<owned_partition> partitions,
                             timestamp now);

    /// Returns the answer to a heartbeat that wants one. It carries news that the sender did not tell, so that news
    /// reaches processes that are nobody's contacts. The first update tells the sender when this process takes it
    /// for leaving, gone or superseded.
    heartbeat reply(const heartbeat& message, std::vector<owned_partition> partitions, timestamp now) const;

    /// Returns at most `count` members that get the next heartbeat, and counts them as contacted. Nothing while no
    /// member is known: the caller then contacts the seeds of its settings.
    std::vector<member> next_peers(std::size_t count, timestamp now);

    /// Returns the judgement about a member. Unknown and gone ones are presumed down; targets and this process are
    /// always heard.
    member_liveness liveness(std::string_view id, timestamp now) const;

    const member& self() const { return m_self.known.subject; }

    /// Returns whether another process runs with the id of this one and a later start. This one should stop.
    bool superseded() const { return m_superseded; }

    /// Counts members that join, start again or change their state. Members that fall silent change nothing here.
    std::uint64_t change_count() const { return m_changes; }

    /// Returns what is known about a member, this process or a target.
    std::optional<member> find(std::string_view id) const;

    /// Returns the members of a role that are not gone, ordered by id, with this process if it has the role.
    std::vector<member> members(member_role role) const;

    /// Returns the alive members of a role that are not presumed down, with this process if it is alive.
    std::vector<member> usable(member_role role, timestamp now) const;

    /// Returns whether a target may get no new work because it is leaving or gone.
    bool excluded(std::string_view target) const;

    /// Returns whether the last answer of the instance list had this id. Nothing before the first answer.
    std::optional<bool> listed(std::string_view id) const;

private:
    struct record {
        member_update known;
        timestamp last_seen{};
        timestamp incarnation_since{};
        timestamp contact_since{};
        timestamp last_contacted{};
        timestamp state_since{};
        bool contact = false;
        bool was_listed = false;
        bool listed_leaving = false;
        bool missing = false; ///< in the last answer of the instance list, although it should be there
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
    void apply_last_seen(std::span<const last_seen_entry> last_seen_entries, timestamp now);
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
    std::size_t m_process_count = 1; ///< processes that were not gone at the last round, with this one
    std::multimap<std::uint32_t, std::string> m_ids_by_hash; ///< by number in life signs; may lack new ones
    std::size_t m_indexed_records = 0;                       ///< records when it was made
    bool m_gossip = false;
    std::uint64_t m_changes = 0;
    bool m_list_answered = false;
    bool m_superseded = false;
    bool m_has_pending_updates = false; ///< a record may have tellings left; saves answers from looking at all records
    std::string m_last_process_sent;
    std::string m_last_target_sent;
};

} // namespace lagoonferry
