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
enum class member_judgement { heard, suspected, presumed_down };

struct member_timing {
    timestamp suspicion = std::chrono::seconds(3);
    timestamp presumed_down = std::chrono::seconds(6);
    timestamp forget_gone = std::chrono::minutes(10);
    timestamp unlisted_grace = std::chrono::minutes(1); ///< lag of the instance list for a member it never listed
};

/// What one process knows about the others and about targets. Decides who hears the next heartbeat and which updates
/// it carries. One owner; not thread-safe.
class member_table {
public:
    /// `self` is alive. `datagram_port` is used for members of which only the instance list has told; 0 means that
    /// they are not contacted. `seed` starts the choice of random peers.
    member_table(member self, member_timing timing, std::uint16_t datagram_port, std::uint64_t seed);

    /// Takes a heartbeat. Returns whether the sender wants an answer.
    bool receive(const heartbeat& message, timestamp now);

    /// Notes another authenticated message of a member, which proves that it is alive.
    void heard_from(std::string_view id, timestamp now);

    /// Merges one answer of the instance list. It adds members, and marks members as leaving or gone, but never takes
    /// a leaving or gone incarnation back to alive.
    void merge_instances(std::span<const listed_instance> list, timestamp now);

    /// Marks the present incarnation of a member or target as leaving, for good. Returns false for an unknown id.
    bool mark_leaving(std::string_view id, timestamp now);

    /// Adds targets of documents, so that their leaving can be recorded before the instance list names them.
    void add_targets(std::span<const listed_instance> targets, timestamp now);

    void set_own_load(std::uint32_t percent);

    /// Sets the members with which this process shares partitions. They hear from each other within the suspicion
    /// time at any fleet size; others are judged by forwarded updates, with times that grow with the fleet.
    void set_contacts(std::vector<std::string> ids);

    /// Returns the next heartbeat, without documents and partitions. Each call counts as one round of updates.
    heartbeat next_heartbeat(timestamp now);

    /// Returns a heartbeat without updates, as the answer to one that wants an answer.
    heartbeat answer() const;

    /// Returns the members that get the next heartbeat, at most `count`: the contact not heard for longest, the
    /// others at random.
    std::vector<member> next_peers(std::size_t count, timestamp now);

    /// Returns the judgement about a member; an unknown or gone one is presumed down, and targets are never judged.
    member_judgement judge(std::string_view id, timestamp now) const;

    const member& self() const { return m_self.known.about; }
    std::optional<member> find(std::string_view id) const;

    /// Returns the members of a role that are not gone, ordered by id, with this process if it has the role.
    std::vector<member> members(member_role role) const;

    /// Returns the alive members of a role that are not presumed down.
    std::vector<member> usable(member_role role, timestamp now) const;

    /// Returns whether a target may get no new work because it is leaving or gone.
    bool excluded(std::string_view target) const;

    /// Returns whether the last answer of the instance list had this id. Nothing before the first answer.
    std::optional<bool> listed(std::string_view id) const;

private:
    struct record {
        member_update known;
        timestamp last_heard{};
        bool ever_heard = false;
        std::size_t tellings_left = 0;
        bool was_listed = false;
        bool listed_leaving = false;
        std::size_t absences = 0;
        timestamp gone_since{};
    };

    record& add(member_update update, timestamp now);
    void apply(const member_update& update, timestamp now);
    void override_state(record& item, member_state state, timestamp now);
    void refute(const member_update& update);
    void merge_row(const listed_instance& row, timestamp now);
    void merge_absence(record& item, timestamp now);
    void forget(timestamp now);
    void tell(record& item);
    std::vector<record*> updates_to_tell();
    timestamp scale() const;
    bool contactable(const record& item) const;
    member_judgement judge(const record& item, timestamp now) const;

    record m_self;
    member_timing m_timing;
    std::uint16_t m_datagram_port;
    std::minstd_rand m_random;
    std::map<std::string, record, std::less<>> m_records;
    std::set<std::string, std::less<>> m_contacts;
    std::set<std::string, std::less<>> m_listed;
    bool m_list_answered = false;
    std::string m_next_told;
};

} // namespace lagoonferry
